package model

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// This file defines the answers, which follow from model and prompt.

// Word returns token number i of the answer to the prompt.
func Word(m plank.Model, prompt string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", m, prompt, i))
	return fmt.Sprintf("%s-%04x ", m.Adapter, h&0xffff)
}

// Answer returns the whole answer to the prompt.
func Answer(m plank.Model, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Word(m, prompt, i))
	}
	return b.String()
}
