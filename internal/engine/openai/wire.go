// Package openai defines the messages of the OpenAI-compatible HTTP API, as
// published by the API and by the open engines that serve it.
package openai

import (
	"encoding/json"
	"strings"

	"knapweedplank.org/plank"
)

// Headers between the system and engines.
const (
	HeaderRequestID    = "X-Request-Id"     // the system's own request id
	HeaderResumeOffset = "X-Resume-Offset"  // chunks that the caller already has
	HeaderTerm         = "X-Fencing-Number" // the fencing number of an order
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

// A Prompt is a string or a list of one string.
type Prompt string

// UnmarshalJSON accepts both forms.
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

// A Message is one turn of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// A Content is a string or a list of parts of which the text counts.
type Content string

// UnmarshalJSON accepts both forms.
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

// PromptText returns the prompt, or the contents of the messages.
func (r *Request) PromptText() string {
	var b strings.Builder
	b.WriteString(string(r.Prompt))
	for _, m := range r.Messages {
		b.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	return b.String()
}

// OutputLimit returns the most tokens that the request asks for, or fallback.
func (r *Request) OutputLimit(fallback int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return fallback
}

// An AdapterRequest loads or unloads an adapter.
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

// A Choice is the part of a chunk or answer that belongs to one completion.
type Choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Delta        *OutputMessage `json:"delta,omitempty"`
	Message      *OutputMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// A OutputMessage is generated chat text.
type OutputMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// An CompletionResponse is a completion that is not streamed.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// An ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// An ErrorInfo tells what went wrong and whether the request ran.
type ErrorInfo struct {
	Message string     `json:"message"`
	Type    string     `json:"type"`
	Code    plank.Code `json:"code"`
	Ran     plank.Ran  `json:"ran"`
	Param   *string    `json:"param"`
}

// TokenChunk returns the JSON of the chunk that holds one piece of text.
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
		panic(err) // the types above always encode
	}
	return data
}
