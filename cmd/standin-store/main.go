// Command standin-store serves a stand-in of the platform's key-value store.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"chervilhollow/simulator"
	"chervilhollow/timers"
)

const usage = `standin-store serves a stand-in of the platform's key-value store.

It keeps all content in memory. POST /switch injects faults; the body has any of
{"outage": true, "slow_ms": 500, "lose_answers": 3}. GET /calls returns the
number of calls by kind.

Flags:
`

func main() {
	listen := flag.String("listen", "127.0.0.1:7400", "address to listen on, by IP number")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started := func(address net.Addr) { fmt.Printf("standin-store: listening on http://%s\n", address) }
	if err := simulator.Serve(ctx, *listen, simulator.NewStore(timers.New()), started); err != nil {
		fmt.Fprintln(os.Stderr, "standin-store:", err)
		os.Exit(1)
	}
}
