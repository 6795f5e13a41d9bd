package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/status"
	"knapweedplank.org/plank/internal/store"
	"knapweedplank.org/plank/pkg/notes"
)

// A noteCmd groups the commands for release notes.
type noteCmd struct {
	Check  noteCheckCmd  `cmd:"" help:"Check a note without contacting anything."`
	Apply  noteApplyCmd  `cmd:"" help:"Have a note accepted; applying it again changes nothing."`
	Status noteStatusCmd `cmd:"" help:"Tell whether a note is in force, and on which VMs not."`
	List   noteListCmd   `cmd:"" help:"List the accepted notes."`
}

type noteCheckCmd struct {
	File string `arg:"" help:"Note file, JSON with comments."`
}

// Run checks the note file without the catalog.
func (c *noteCheckCmd) Run() error {
	n, err := readNote(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("note %s is fine; it touches %d items\n", n.Id, len(n.AffectedItems()))
	return nil
}

// readNote reads and parses a note file.
func readNote(path string) (*notes.Note, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	return notes.Parse(text)
}

// A platformFlag is the flag of commands that access the object API.
type platformFlag struct {
	Platform string `required:"" env:"KNAPWEEDPLANK_PLATFORM" placeholder:"HOST:PORT" help:"Address of the platform's object API."`
}

type noteApplyCmd struct {
	platformFlag
	File    string        `arg:"" help:"Note file, JSON with comments."`
	Latest  bool          `help:"Take the newest accepted note as the note's Base."`
	Wait    bool          `help:"Wait until the note is in force everywhere."`
	Timeout time.Duration `default:"30s" help:"How long to try and to wait."`
}

// Run appends the note to the chain.
func (c *noteApplyCmd) Run() error {
	n, err := readNote(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	s := store.New(c.Platform, nil)
	number, err := appendNote(ctx, s, n, c.Latest)
	if err != nil {
		return err
	}
	fmt.Printf("note %s is accepted as number %d\n", n.Id, number)
	if !c.Wait {
		return nil
	}
	return waitInForce(ctx, s, n.Id)
}

// appendNote appends a note to the chain. It retries while the platform is
// unavailable; after a lost reply, the retry finds the note already accepted.
func appendNote(ctx context.Context, s plank.Store, n *notes.Note, latest bool) (plank.NoteNumber, error) {
	token := plank.WriteToken(rand.Text())
	for {
		chain := notes.NewChain(s)
		err := chain.Refresh(ctx)
		if err == nil {
			if latest {
				n.Base = latestBase(chain, n)
			}
			var number plank.NoteNumber
			if number, err = chain.Append(ctx, n, token); err == nil {
				return number, nil
			}
		}
		var unavailable *plank.UnavailableError
		if !errors.As(err, &unavailable) || !pause.For(ctx, retryDelay) {
			return 0, err
		}
	}
}

// latestBase returns the number of the newest note. If the chain already contains
// a note with the same Id, it returns that note's Base, since with another Base
// the content would differ and the note would be refused.
func latestBase(chain *notes.Chain, n *notes.Note) plank.NoteNumber {
	for _, l := range chain.Records() {
		if l.Note.Id == n.Id {
			return l.Note.Base
		}
	}
	return chain.Catalog().Number
}

const retryDelay = 300 * time.Millisecond

type noteStatusCmd struct {
	platformFlag
	ID      string        `arg:"" optional:"" help:"Id of the note; the newest by default."`
	Wait    bool          `help:"Wait until the note is in force."`
	JSON    bool          `name:"json" help:"Print JSON."`
	Timeout time.Duration `default:"30s" help:"How long to try and to wait."`
}

// Run prints the status. The exit code is exitNotInForce unless the note is in
// force on all VMs.
func (c *noteStatusCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	s := store.New(c.Platform, nil)
	if c.Wait {
		return waitInForce(ctx, s, plank.NoteID(c.ID))
	}
	r, err := status.Read(ctx, s, plank.NoteID(c.ID))
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(r)
	} else {
		printReport(r)
	}
	if err == nil && !r.InForce {
		err = &exitError{code: exitNotInForce, err: errors.New("not in force yet")}
	}
	return err
}

func printReport(r status.Report) {
	if r.InForce {
		fmt.Printf("note %s (number %d) is in force on all %d VMs\n", r.Id, r.Number, r.VMs)
		return
	}
	fmt.Printf("note %s (number %d) is not in force yet: %d of %d VMs lag\n", r.Id, r.Number, len(r.Lagging), r.VMs)
	for _, l := range r.Lagging {
		fmt.Printf("  %s (%s) is at number %d, state %s\n", l.VM, l.Domain, l.Applied, l.State)
	}
}

// waitInForce polls the status until the note is in force or ctx ends, and prints
// the last status.
func waitInForce(ctx context.Context, s plank.Store, id plank.NoteID) error {
	for {
		r, err := status.Read(ctx, s, id)
		var unavailable *plank.UnavailableError
		switch {
		case err == nil && r.InForce:
			printReport(r)
			return nil
		case err != nil && !errors.As(err, &unavailable):
			return err
		}
		if !pause.For(ctx, retryDelay) {
			if err == nil {
				printReport(r)
				err = errors.New("not in force yet")
			}
			return &exitError{code: exitNotInForce, err: err}
		}
	}
}

type noteListCmd struct {
	platformFlag
}

// Run lists the accepted notes.
func (c *noteListCmd) Run() error {
	chain := notes.NewChain(store.New(c.Platform, nil))
	if err := chain.Refresh(context.Background()); err != nil {
		return err
	}
	for _, l := range chain.Records() {
		fmt.Printf("%d\t%s\t%d items\t%s\n", l.Number, l.Note.Id, len(l.Note.AffectedItems()), l.Note.Comment)
	}
	return nil
}

type keyCmd struct{}

// Run prints a new random key and its hash.
func (c *keyCmd) Run() error {
	key := "kp-" + rand.Text()
	fmt.Printf("key  %s\nhash %s\n", key, keys.Hash(key))
	return nil
}
