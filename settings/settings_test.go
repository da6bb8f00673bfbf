package settings_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"chervilhollow/settings"
)

// Guards against a fault that is accepted, is reported at the wrong line or
// prevents the report of other faults. testdata has the files and their faults.
func TestFaults(t *testing.T) {
	parsers := map[string]func(data []byte) error{
		"gate.txtar": func(data []byte) error {
			_, err := settings.ParseGate("settings", data)
			return err
		},
		"placer.txtar": func(data []byte) error {
			_, err := settings.ParsePlacer("settings", data)
			return err
		},
	}
	for file, parse := range parsers {
		archive, err := txtar.ParseFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		want := make(map[string]string)
		for _, f := range archive.Files {
			if name, ok := strings.CutSuffix(f.Name, "/faults"); ok {
				want[name] = string(f.Data)
			}
		}
		for _, f := range archive.Files {
			name, ok := strings.CutSuffix(f.Name, "/settings")
			if !ok {
				continue
			}
			t.Run(file+"/"+name, func(t *testing.T) {
				is := is.New(t)
				is.Equal(faultsOf(parse(f.Data)), want[name])
			})
		}
	}
}

func faultsOf(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "settings:", "") + "\n"
}

// Guards against a value of the file that does not override the default, and
// against a default that is lost for a field that the file does not contain.
func TestValuesAndDefaults(t *testing.T) {
	is := is.New(t)
	archive, err := txtar.ParseFile("testdata/gate.txtar")
	is.NoErr(err)
	gate, err := settings.ParseGate("settings", archive.Files[0].Data)
	is.NoErr(err)
	is.Equal(gate.PeerAddress(), "10.0.0.7:7000")
	is.Equal(string(gate.FailureDomain()), "east")
	is.Equal(gate.StopTimeout(), 1500*time.Millisecond)
	is.Equal(gate.MaxBodyBytes(), int64(1<<20))
	is.Equal(gate.LogLevel(), "info")
}

// Guards against a field that is missing from the help text: operators write
// settings files from it.
func TestHelpNamesEveryField(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	_, err := settings.GateCommand([]string{"--help"}, &out)
	is.True(errors.Is(err, flag.ErrHelp))
	for _, word := range []string{"--settings", "-check", "peer_address", "caller_address", "limits", "team_rate", "required", `default "30s"`} {
		is.True(strings.Contains(out.String(), word))
	}
}

// Guards against a heartbeat interval that the host doesn't get, or that other programs take.
func TestWorkerHeartbeatFlag(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		text string
		want time.Duration
		ok   bool
	}{{"1500ms", 1500 * time.Millisecond, true}, {"0s", 0, true}, {"-1s", 0, false}, {"ms", 0, false}} {
		args := []string{"-settings", "x", "-worker-heartbeat", c.text}
		command, err := settings.HostCommand(args, &bytes.Buffer{})
		is.Equal(err == nil, c.ok)
		if c.ok {
			is.Equal(command.WorkerHeartbeat(), c.want)
		}
		_, err = settings.GateCommand(args, &bytes.Buffer{})
		is.True(errors.Is(err, settings.ErrUsage))
	}
}

// Guards against unknown flags and arguments that are ignored.
func TestCommandLine(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{}, {"--speed"}, {"--settings", "x", "extra"}} {
		_, err := settings.PlacerCommand(args, &bytes.Buffer{})
		is.True(errors.Is(err, settings.ErrUsage))
	}
	c, err := settings.PlacerCommand([]string{"--settings", "missing.json", "--check"}, &bytes.Buffer{})
	is.NoErr(err)
	is.True(c.CheckOnly())
	_, err = c.Placer()
	is.True(errors.Is(err, os.ErrNotExist))
}

// Guards against a panic in the decoder.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"limits": {"stop_timeout": "1s"}}`))
	f.Add([]byte(`{"limits": [1, /* c */ null,]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.ParseGate("settings", data)
	})
}
