// Command placer queues requests and places their tasks on workers.
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

	"chervilhollow/chart"
	"chervilhollow/wharf"
)

func main() {
	err := placer(os.Args[1:])
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.Is(err, chart.ErrUsage):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "placer:", err)
		os.Exit(1)
	}
}

func placer(args []string) error {
	command, err := chart.PlacerCommand(args, os.Stderr)
	if err != nil {
		return err
	}
	settings, err := command.Placer()
	if err != nil {
		return err
	}
	if command.Check() {
		fmt.Println("settings are valid")
		return nil
	}
	level, err := zerolog.ParseLevel(settings.LogLevel())
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return wharf.New(settings, log).Run(ctx)
}
