package mesh

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/wire"
)

// A Stream carries the messages of one VM to another.
type Stream interface {
	Send(m proto.Message) error
	Receive(m proto.Message) error
	// SetDeadline sets the deadline of pending and later sends and receives.
	SetDeadline(t time.Time) error
	// SentBytes returns the number of bytes sent.
	SentBytes() int
	Close() error
}

// A Transport opens streams to other VMs.
type Transport interface {
	// Open opens a stream to the VM at addr, which is closed when ctx ends, and sends
	// call as its first message.
	Open(ctx context.Context, addr string, call *wire.Call) (Stream, error)
	// Discard closes the connection to addr, so that the next stream uses another.
	Discard(addr string)
}

// PeerTransport returns t as a Transport.
func PeerTransport(t *peer.Transport) Transport { return peerTransport{t} }

type peerTransport struct {
	*peer.Transport
}

// Open implements Transport.
func (t peerTransport) Open(ctx context.Context, addr string, call *wire.Call) (Stream, error) {
	s, err := t.Transport.Open(ctx, addr, call)
	if err != nil {
		return nil, err
	}
	return s, nil
}
