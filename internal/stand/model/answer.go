package model

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// This file defines the generated text, a function of the model and the prompt.

// TokenText returns the text of token i of the answer to the prompt.
func TokenText(m plank.Model, prompt string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", m, prompt, i))
	return fmt.Sprintf("%s-%04x ", m.Adapter, h&0xffff)
}

// Completion returns the answer to the prompt with the given number of tokens.
func Completion(m plank.Model, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(m, prompt, i))
	}
	return b.String()
}
