package daemon

import (
	"cmp"
	"context"
	"slices"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/wire"
)

// This file serves the calls of other VMs, and borrows tokens from them.

var _ peer.Handler = (*Daemon)(nil)

// Serve implements peer.Handler.
func (d *Daemon) Serve(call *wire.Call, s *peer.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Heartbeat:
		if b := d.heartbeats.Load(); b != nil {
			b.Serve(body.Heartbeat, s)
		}
	case *wire.Call_Borrow:
		d.serveBorrow(body.Borrow, s)
	case *wire.Call_Notes:
		d.feed.ServeNotes(body.Notes, s)
	case *wire.Call_Forward:
		ctx, cancel := s.Context()
		defer cancel()
		d.relay.Serve(ctx, body.Forward, s)
	}
}

// serveBorrow lends a part of this VM's share. The loan is deducted before the
// reply is sent, so a lost reply loses tokens but never duplicates them.
func (d *Daemon) serveBorrow(req *wire.BorrowRequest, s *peer.Stream) {
	var loan limit.Loan
	// Without a valid lease, another VM may take over this VM's share while the
	// loan is still in use.
	if !d.draining.Load() && d.clock.Now().Before(d.leaseValidUntil()) {
		loan = d.limiter.Lend(plank.WorkspaceID(req.GetWorkspace()), plank.Tokens(req.GetTokens()))
	}
	_ = s.Send(&wire.BorrowReply{SharePpm: int64(loan.Share), Tokens: float64(loan.Tokens), TtlMillis: limit.LoanDuration.Milliseconds()})
}

// A lender borrows from peers. It implements limit.Lender.
type lender struct{ daemon *Daemon }

var _ limit.Lender = (*lender)(nil)

// Lenders implements limit.Lender. VMs that are shutting down are left out.
func (l *lender) Lenders(ws plank.WorkspaceID) []plank.VMID {
	var peers []member.Peer
	for _, p := range l.daemon.control.Snapshot().Peers {
		if p.SpareTokens[ws] >= 1 && !p.Leaving {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b member.Peer) int { return cmp.Compare(b.SpareTokens[ws], a.SpareTokens[ws]) })
	vms := make([]plank.VMID, len(peers))
	for i, p := range peers {
		vms[i] = p.VM
	}
	return vms
}

// Borrow implements limit.Lender.
func (l *lender) Borrow(ctx context.Context, vm plank.VMID, ws plank.WorkspaceID, tokens plank.Tokens) (limit.Loan, error) {
	address := ""
	for _, p := range l.daemon.control.Snapshot().Peers {
		if p.VM == vm {
			address = p.Address
		}
	}
	if address == "" {
		return limit.Loan{}, &plank.UnavailableError{Target: "VM " + string(vm), Op: "borrow"}
	}
	var reply wire.BorrowReply
	call := &wire.Call{Body: &wire.Call_Borrow{Borrow: &wire.BorrowRequest{Vm: string(l.daemon.cfg.VM), Workspace: string(ws), Tokens: float64(tokens)}}}
	if err := l.daemon.transport.Call(ctx, address, call, &reply); err != nil {
		return limit.Loan{}, err
	}
	if reply.GetTtlMillis() < limit.LoanDuration.Milliseconds() {
		// A lender that runs another version would reclaim the share while this
		// VM still uses it.
		return limit.Loan{}, nil
	}
	return limit.Loan{Share: plank.PPM(reply.GetSharePpm()), Tokens: plank.Tokens(reply.GetTokens())}, nil
}
