// Command faultnet runs a TCP proxy that injects network faults. It prints its
// address on the first line of output. Each line of its input is a fault.Mode in
// JSON or one of the words cut, heal and break, which call Proxy.Cut, Proxy.Heal
// and Proxy.CloseConns.
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
	proxy, err := fault.New(c.Listen, c.Target)
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultnet:", err)
		os.Exit(1)
	}
	fmt.Println(proxy.Addr())
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if err := execute(proxy, lines.Text()); err != nil {
			fmt.Fprintln(os.Stderr, "faultnet:", err)
		}
	}
	select {} // keep serving after the end of the input
}

// execute runs the command in one line of input.
func execute(proxy *fault.Proxy, line string) error {
	switch line {
	case "cut":
		proxy.Cut()
		return nil
	case "heal":
		proxy.Heal()
		return nil
	case "break":
		proxy.CloseConns()
		return nil
	}
	var mode fault.Mode
	if err := json.Unmarshal([]byte(line), &mode); err != nil {
		return err
	}
	proxy.SetMode(mode)
	return nil
}
