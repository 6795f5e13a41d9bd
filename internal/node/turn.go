package node

// A turn is a condition that goroutines wait for. Its users guard it by a lock.
type turn struct {
	// began is closed while it is the turn.
	began chan struct{}
	isOn  bool
}

func newTurn() turn { return turn{began: make(chan struct{})} }

// set begins or ends the turn.
func (t *turn) set(on bool) {
	switch {
	case on && !t.isOn:
		close(t.began)
	case !on && t.isOn:
		t.began = make(chan struct{})
	}
	t.isOn = on
}
