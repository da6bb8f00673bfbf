// Command standin-worker serves the worker protocol for tests and trials. One
// process serves many workers, each below /w/<id>.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"chervilhollow/order"
	"chervilhollow/sample"
	"chervilhollow/tide"
)

const headerTimeout = 10 * time.Second

func main() {
	settings, err := parse(os.Args[1:])
	if err == nil {
		err = serve(settings)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-worker:", err)
		os.Exit(1)
	}
}

func parse(args []string) (sample.WorkerSettings, error) {
	flags := flag.NewFlagSet("standin-worker", flag.ContinueOnError)
	file := flags.String("settings", "", "settings file (JSON with comments)")
	listen := flags.String("listen", "", "address to listen on; overrides the file")
	domains := flags.String("domains", "", "failure domains, separated by commas, of a generated pattern")
	pattern := sample.WorkerPattern{Size: sample.WorkerSpec{}}
	size := &pattern.Size
	flags.IntVar(&pattern.Racks, "racks", 1, "racks in each domain")
	flags.IntVar(&pattern.PerRack, "per-rack", 8, "workers in each rack")
	flags.IntVar(&size.Slots, "slots", 8, "slots of a worker")
	flags.IntVar(&size.Connections, "connections", 64, "connections of a worker")
	flags.Int64Var((*int64)(&size.MilliCores), "milli-cores", 64000, "processors of a worker in thousandths")
	flags.Int64Var(&size.MemoryMB, "memory-mb", 256<<10, "memory of a worker")
	flags.IntVar(&size.Accelerators, "accelerators", 0, "accelerators of a worker")
	flags.BoolVar(&size.Fenced, "fenced", true, "refuse starts of an older epoch")
	if err := flags.Parse(args); err != nil {
		return sample.WorkerSettings{}, err
	}
	settings := sample.WorkerSettings{Listen: "127.0.0.1:7500"}
	if *file != "" {
		loaded, err := sample.LoadWorkerSettings(*file)
		if err != nil {
			return settings, err
		}
		settings = loaded
	}
	if *listen != "" {
		settings.Listen = *listen
	}
	if *domains != "" {
		for _, name := range strings.Split(*domains, ",") {
			pattern.Domains = append(pattern.Domains, order.DomainName(name))
		}
		settings.Pattern = &pattern
	}
	return settings, nil
}

func serve(settings sample.WorkerSettings) error {
	workers := sample.NewWorkers(tide.New(), settings)
	defer workers.Close()
	server := &http.Server{Addr: settings.Listen, Handler: workers, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
