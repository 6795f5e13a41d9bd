// Command faultnet runs a TCP proxy that brings about network faults. It prints
// its address on the first line, and reads a mode in JSON from each line of its
// input; the words cut, heal and break stand for themselves.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"knapweedplank.org/plank/internal/fault"
)

// A cli holds the flags.
type cli struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`
	Target string `required:"" placeholder:"HOST:PORT" help:"Address to forward to."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("faultnet"), kong.Description("TCP proxy with faults on demand."))
	p, err := fault.New(c.Listen, c.Target)
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultnet:", err)
		os.Exit(1)
	}
	fmt.Println(p.Addr())
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if err := order(p, lines.Text()); err != nil {
			fmt.Fprintln(os.Stderr, "faultnet:", err)
		}
	}
	select {} // serves on after its input has ended
}

// order carries out one line of input.
func order(p *fault.Proxy, line string) error {
	switch line {
	case "cut":
		p.Cut()
		return nil
	case "heal":
		p.Heal()
		return nil
	case "break":
		p.CloseConns()
		return nil
	}
	var m fault.Mode
	if err := json.Unmarshal([]byte(line), &m); err != nil {
		return err
	}
	p.SetMode(m)
	return nil
}
