package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/watch"
	"knapweedplank.org/plank/internal/wire"
)

// This file defines how VMs fetch large objects of the store from each other,
// when the store does not answer them.

// The limits of sending large objects.
const (
	// maxPartBytes is the most bytes in one message: other messages of the
	// connection go between the parts.
	maxPartBytes = 16 << 10
	// maxConcurrentSends is how many VMs are sent an object at the same time. Others ask
	// again.
	maxConcurrentSends = 2
	// partTimeout bounds one part.
	partTimeout = time.Second
)

var errNotSent = errors.New("the peer does not send the object now")

// An objectSender sends objects of the store to VMs that ask for them.
type objectSender struct {
	table   *watch.Table
	sending atomic.Int32
}

// serve answers one request.
func (o *objectSender) serve(req *wire.ObjectRequest, s *peer.Stream) {
	defer o.sending.Add(-1)
	c := o.table.Get(req.Key)
	if o.sending.Add(1) > maxConcurrentSends || c.Object.Version == 0 || c.Revision < plank.Revision(req.Revision) {
		_ = s.Send(&wire.ObjectPart{Refused: true}) // the VM asks again in any case
		return
	}
	for rest := c.Object.Value; ; {
		n := min(maxPartBytes, len(rest))
		part := &wire.ObjectPart{Value: rest[:n], Version: uint64(c.Object.Version), Revision: uint64(c.Revision), Last: n == len(rest)}
		rest = rest[n:]
		if s.SetDeadline(time.Now().Add(partTimeout)) != nil || s.Send(part) != nil || part.Last {
			return
		}
	}
}

// fetchObject asks a VM for an object as of a revision or later.
func (n *Node) fetchObject(ctx context.Context, vm plank.VMID, key string, revision plank.Revision) (plank.Change, error) {
	addr := ""
	n.mesh.Each(func(p *mesh.Peer) {
		if p.VM == vm {
			addr = p.Address
		}
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := n.hub.Open(ctx, addr, &wire.Call{Body: &wire.Call_Object{Object: &wire.ObjectRequest{Key: key, Revision: uint64(revision)}}})
	if err != nil {
		return plank.Change{}, err
	}
	c := plank.Change{Object: plank.Object{Key: key}}
	for {
		part := new(wire.ObjectPart)
		if err := s.SetDeadline(time.Now().Add(partTimeout)); err != nil {
			return c, err
		}
		if err := s.Receive(part); err != nil {
			return c, err
		}
		if part.Refused {
			return c, errNotSent
		}
		c.Object.Value = append(c.Object.Value, part.Value...)
		c.Object.Version, c.Revision = plank.ObjectVersion(part.Version), plank.Revision(part.Revision)
		if part.Last {
			return c, nil
		}
	}
}
