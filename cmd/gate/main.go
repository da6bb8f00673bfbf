// Command gate runs a gate process, which receives requests of callers over
// HTTP and forwards them to the placers.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"chervilhollow/gateway"
	"chervilhollow/settings"
	"chervilhollow/timers"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2 // invalid command line or settings
)

func main() {
	command, err := settings.GateCommand(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		exit(exitSettings, err)
	}
	cfg, err := command.Gate()
	if err != nil {
		exit(exitSettings, err)
	}
	if command.CheckOnly() {
		fmt.Println("gate: the settings are valid")
		return
	}
	level, err := zerolog.ParseLevel(cfg.LogLevel())
	if err != nil {
		exit(exitSettings, err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	gate, err := gateway.NewGate(cfg, timers.New(), log)
	if err != nil {
		exit(exitFailed, err)
	}
	if err := gate.Run(); err != nil {
		exit(exitFailed, err)
	}
}

// exit prints the error and ends the process with the exit code.
func exit(code int, err error) {
	fmt.Fprintln(os.Stderr, "gate:", err)
	os.Exit(code)
}
