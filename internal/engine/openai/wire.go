// Package openai defines the messages of the OpenAI HTTP API, and those for
// adapters that compatible open-source engines add to it.
package openai

import (
	"encoding/json"
	"strings"

	"knapweedplank.org/plank"
)

// The headers of requests to engines.
const (
	HeaderRequestID    = "X-Request-Id"     // the request ID that the system assigned
	HeaderResumeOffset = "X-Resume-Offset"  // number of chunks that the caller has already received
	HeaderTerm         = "X-Fencing-Number" // the term in which a load or unload order was sent; a fencing token
)

// A Request is the part of a completion request that the system reads.
type Request struct {
	Model     string    `json:"model"`
	Prompt    Prompt    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
	N                   int  `json:"n,omitempty"`
}

// A Prompt is a prompt text. In JSON it is a string or a list of strings.
type Prompt string

// UnmarshalJSON decodes both forms. It joins the strings of a list with newlines.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	var one string
	if err := json.Unmarshal(data, &one); err == nil {
		*p = Prompt(one)
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*p = Prompt(strings.Join(list, "\n"))
	return nil
}

// A Message is one message of a chat in a request.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// A Content is the text of a message. In JSON it is a string or a list of parts,
// of which only the text is kept.
type Content string

// UnmarshalJSON decodes both forms.
func (c *Content) UnmarshalJSON(data []byte) error {
	var one string
	if err := json.Unmarshal(data, &one); err == nil {
		*c = Content(one)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		*c += Content(p.Text)
	}
	return nil
}

// PromptText returns the prompt followed by the messages with their roles.
func (r *Request) PromptText() string {
	var b strings.Builder
	b.WriteString(string(r.Prompt))
	for _, m := range r.Messages {
		b.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	return b.String()
}

// OutputLimit returns the limit of completion tokens that the request sets, or
// fallback if it sets none.
func (r *Request) OutputLimit(fallback int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return fallback
}

// An AdapterRequest is the body of an order to load or unload an adapter.
type AdapterRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// A Chunk is one event of a streamed completion.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// A Choice is the part of a Chunk or CompletionResponse that belongs to one
// completion.
type Choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Delta        *OutputMessage `json:"delta,omitempty"`
	Message      *OutputMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// An OutputMessage is a generated chat message or, in a chunk, a part of one.
type OutputMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// A CompletionResponse is the response to a completion request without streaming.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// An ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// An ErrorInfo describes an error and states whether the request ran.
type ErrorInfo struct {
	Message string     `json:"message"`
	Type    string     `json:"type"`
	Code    plank.Code `json:"code"`
	Ran     plank.Ran  `json:"ran"`
	Param   *string    `json:"param"`
}

// TokenChunk returns the JSON encoding of a Chunk that holds one piece of text.
// last marks the final chunk of a completion that reached its token limit.
func TokenChunk(id string, m plank.Model, chat bool, text string, last bool) []byte {
	choice := Choice{Text: &text}
	object := "text_completion"
	if chat {
		choice = Choice{Delta: &OutputMessage{Role: "assistant", Content: text}}
		object = "chat.completion.chunk"
	}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	data, err := json.Marshal(Chunk{ID: id, Object: object, Model: m.String(), Choices: []Choice{choice}})
	if err != nil {
		panic(err) // the encoding of these types does not fail
	}
	return data
}
