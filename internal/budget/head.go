package budget

import "bytes"

// A Head counts the bytes and lines of an HTTP head as they arrive.
type Head struct {
	Bytes   int
	HasText bool // a line that is not empty has arrived
	inLine  bool // more than a CR has arrived of the current line
	IsWhole bool
}

// Add counts the next bytes of a message and returns how many bytes and lines of them belong
// to its head. The head ends with the first empty line after one that is not empty.
func (h *Head) Add(p []byte) (n, lines int) {
	for n < len(p) && !h.IsWhole {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			if rest := p[n:]; len(rest) > 1 || rest[0] != '\r' {
				h.inLine = true
			}
			n = len(p)
			break
		}
		line := p[n : n+i]
		isEmpty := !h.inLine && (len(line) == 0 || len(line) == 1 && line[0] == '\r')
		h.IsWhole = isEmpty && h.HasText
		h.HasText = h.HasText || !isEmpty
		h.inLine = false
		n += i + 1
		lines++
	}
	h.Bytes += n
	return n, lines
}
