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

// This file defines how VMs fetch large objects of the store from each other
// while the store is unavailable to them.

// The limits of sending large objects.
const (
	// maxPartBytes is the largest number of bytes in one message. Other messages
	// of the connection are sent between the parts.
	maxPartBytes = 16 << 10
	// maxConcurrentSends is the number of VMs to which objects are sent at the same
	// time. Requests of other VMs are refused, and these retry.
	maxConcurrentSends = 2
	// partTimeout limits the transfer of one part.
	partTimeout = time.Second
)

// errNotSent reports that the peer is busy, or has no such revision of the object.
var errNotSent = errors.New("the peer refused to send the object")

// An objectSender sends objects of the store to VMs that request them.
type objectSender struct {
	table   *watch.Table
	sending atomic.Int32
}

// serve answers one request.
func (o *objectSender) serve(req *wire.ObjectRequest, s *peer.Stream) {
	defer o.sending.Add(-1)
	c := o.table.Get(req.Key)
	if o.sending.Add(1) > maxConcurrentSends || c.Object.Version == 0 || c.Revision < plank.Revision(req.Revision) {
		_ = s.Send(&wire.ObjectPart{Refused: true}) // if this fails too, the VM retries all the same
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

// fetchObject requests an object from a VM, as of a revision or later.
func (n *Node) fetchObject(ctx context.Context, vm plank.VMID, key string, revision plank.Revision) (plank.Change, error) {
	addr := ""
	n.mesh.Each(func(p *mesh.Peer) {
		if p.VM == vm {
			addr = p.Address
		}
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := n.transport.Open(ctx, addr, &wire.Call{Body: &wire.Call_Object{Object: &wire.ObjectRequest{Key: key, Revision: uint64(revision)}}})
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
