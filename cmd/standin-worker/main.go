// Command standin-worker simulates workers for tests and local deployments. One
// process serves the worker protocol of many workers, each below /w/<id>.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"chervilhollow/order"
	"chervilhollow/simulator"
	"chervilhollow/timers"
)

const usage = `standin-worker serves the worker protocol of many workers under /w/ID/v1/.

The workers come from a settings file, from a host list file, or from a pattern
(-domains and the size flags). The payload of a task sets how its run goes:

  {"run_ms": 20, "result": "text", "fail": false, "use": {"cores": 1.5}}

POST /switch injects faults into one worker or, without "worker", into all:

  {"worker": "east-r1-1", "fail": true, "refuse": true, "pause": true,
   "crash": true, "slow_ms": 200, "drop_answers": true, "fenced": false}

GET /audit returns the tasks that ran more than once, in two places, or beyond
the capacity of their worker; with ?all=1 also the runs of each task. GET
/totals returns the capacity of all workers and, per team, the running and ended
tasks.

Flags:
`

func main() {
	flags := flag.NewFlagSet("standin-worker", flag.ExitOnError)
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), usage)
		flags.PrintDefaults()
	}
	settings, err := parse(flags, os.Args[1:])
	if err == nil {
		err = run(settings)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-worker:", err)
		os.Exit(1)
	}
}

func parse(flags *flag.FlagSet, args []string) (simulator.WorkerSettings, error) {
	file := flags.String("settings", "", "settings file (JSON with comments)")
	hosts := flags.String("hosts", "", "host list file, as standin-hosts reads it")
	listen := flags.String("listen", "", "address to listen on, by IP number (default 127.0.0.1:7600)")
	domains := flags.String("domains", "", "failure domains of the pattern, separated by commas")
	var pattern simulator.WorkerPattern
	size := &pattern.Size
	flags.IntVar(&pattern.Racks, "racks", 1, "racks in each domain")
	flags.IntVar(&pattern.PerRack, "per-rack", 8, "workers in each rack")
	flags.IntVar(&size.Slots, "slots", 8, "slots of a worker")
	flags.IntVar(&size.Connections, "connections", 64, "connections of a worker")
	flags.Int64Var((*int64)(&size.MilliCores), "milli-cores", 64000, "processor cores of a worker, in thousandths")
	flags.Int64Var(&size.MemoryMB, "memory-mb", 256<<10, "memory of a worker, in MiB")
	flags.IntVar(&size.Accelerators, "accelerators", 0, "accelerators of a worker")
	flags.BoolVar(&size.Fenced, "fenced", true, "refuse calls with an older epoch")
	if err := flags.Parse(args); err != nil {
		return simulator.WorkerSettings{}, err
	}
	settings, err := load(*file, *hosts)
	if err != nil {
		return settings, err
	}
	if *domains != "" {
		for _, name := range strings.Split(*domains, ",") {
			pattern.Domains = append(pattern.Domains, order.DomainName(name))
		}
		settings.Pattern = &pattern
	}
	if *listen != "" {
		settings.Listen = *listen
	}
	if settings.Listen == "" {
		settings.Listen = "127.0.0.1:7600"
	}
	return settings, settings.Check()
}

func load(file, hosts string) (simulator.WorkerSettings, error) {
	switch {
	case file != "":
		return simulator.LoadWorkerSettings(file)
	case hosts == "":
		return simulator.WorkerSettings{}, nil
	}
	data, err := os.ReadFile(hosts)
	if err != nil {
		return simulator.WorkerSettings{}, err
	}
	list, err := simulator.ParseHostFile(data)
	return simulator.SettingsFromHostFile(list), err
}

func run(settings simulator.WorkerSettings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	workers := simulator.NewWorkers(timers.New(), settings)
	defer workers.Close()
	return simulator.Serve(ctx, settings.Listen, workers, func(address net.Addr) {
		fmt.Printf("standin-worker: %d workers on %s\n", len(settings.Specs()), address)
	})
}
