// Command standin-hosts serves a stand-in of the platform's host list.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chervilhollow/simulator"
	"chervilhollow/timers"
)

const usage = `standin-hosts serves a stand-in of the platform's host list.

GET /v1/hosts lists the workers and the entry hosts of the file. POST
/v1/hosts/ID/state with {"state": "live"}, {"state": "leaving"} or {"state":
"gone"} changes the state of a worker, or of an entry host by its address; the
list shows the change after the lag. POST /switch with {"outage": true} makes
GET /v1/hosts fail.

The file is JSON with comments:

  {
    "workers": [{
      "id": "w0", "url": "http://127.0.0.1:7600", "domain": "east",
      "rack": "r1", "cores": 64, "memory": 274877906944, "accelerators": 0,
      "slots": 8, "connections": 64, "fenced": true, "state": "live",
    }],
    "entry_hosts": [{"address": "127.0.0.1:7100", "domain": "east"}],
    // Generates more workers; racks are assigned to the domains round-robin.
    "generate": {
      "count": 50, "domains": ["east", "west"], "workers_per_rack": 8,
      "id": "g{n}", "url": "http://127.0.0.1:{port}", "first_port": 7700,
      "cores": 64, "memory": 274877906944, "accelerators": 0,
      "slots": 8, "connections": 64, "fenced": true,
    },
  }

Memory is in bytes. An entry host's address without a port covers all processes
on that host.

Flags:
`

func main() {
	listen := flag.String("listen", "127.0.0.1:7500", "address to listen on, by IP number")
	file := flag.String("file", "", "host list file (required)")
	lag := flag.Duration("lag", 2*time.Second, "delay until a state change appears in the list")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := run(*listen, *file, *lag); err != nil {
		fmt.Fprintln(os.Stderr, "standin-hosts:", err)
		os.Exit(1)
	}
}

func run(listen, path string, lag time.Duration) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, err := simulator.ParseHostFile(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hosts := simulator.NewHosts(timers.New(), file, simulator.WithLag(lag))
	started := func(address net.Addr) { fmt.Printf("standin-hosts: listening on http://%s\n", address) }
	return simulator.Serve(ctx, listen, hosts, started)
}
