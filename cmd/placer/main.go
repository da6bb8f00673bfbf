// Command placer runs a placer process, which queues requests and places their
// tasks on workers.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"chervilhollow/placer"
	"chervilhollow/settings"
)

func main() {
	err := run(os.Args[1:])
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.Is(err, settings.ErrUsage):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "placer:", err)
		os.Exit(1)
	}
}

// run runs the placer until SIGTERM or SIGINT. With --check it only checks the
// settings. The errors for --help and for an invalid command line are handled
// in main without printing them.
func run(args []string) error {
	command, err := settings.PlacerCommand(args, os.Stderr)
	if err != nil {
		return err
	}
	cfg, err := command.Placer()
	if err != nil {
		return err
	}
	if command.CheckOnly() {
		fmt.Println("settings are valid")
		return nil
	}
	level, err := zerolog.ParseLevel(cfg.LogLevel())
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return placer.New(cfg, log).Run(ctx)
}
