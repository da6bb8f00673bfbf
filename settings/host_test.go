package settings

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// renderTemplate returns the settings template of the deployment with values as
// the platform fills them in.
func renderTemplate(t *testing.T) string {
	text, err := os.ReadFile("../deploy/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	values := strings.NewReplacer(
		"{{ip}}", "10.1.0.17", "{{internalPorts.0}}", "7420", "{{listen.front}}", "10.1.0.17:8183",
		"{{listen.ready}}", "10.1.0.17:8184", "{{platform.address}}", "10.200.1.7:8582", "{{advice}}", "10.200.1.9:8182",
		"{{zone}}", "brisbane-a", "{{limits.cores}}", "1", "{{limits.cpuShare}}", "0.4", "{{limits.memoryMb}}", "284",
		"{{#platform.writesPerS}}", "", "{{/platform.writesPerS}}", "", "{{.}}", "1200.0",
		"{{bounds.maxHoldMs}}", "10000", "{{bounds.status_s}}", "120")
	return values.Replace(string(text))
}

// Guards against a settings template of the deployment that the program
// rejects.
func TestDeployTemplateIsValid(t *testing.T) {
	is := is.New(t)
	text := renderTemplate(t)
	is.True(!regexp.MustCompile(`\{\{`).MatchString(text))
	s, err := ParseHost("settings.json", []byte(text))
	is.NoErr(err)
	is.Equal(s.PeerAddress(), "10.1.0.17:7420")
	is.Equal(s.CPULimit(), 0.4)
	is.Equal(s.StoreWrites(), 1200.0)
	is.Equal(s.CancelBound(), 3*time.Second)
}

// Guards against a truncated or invalid settings file that is accepted.
func TestHostReportsFaults(t *testing.T) {
	is := is.New(t)
	text := renderTemplate(t)
	_, err := ParseHost("settings.json", []byte(text[:len(text)/2]))
	is.True(err != nil)
	_, err = ParseHost("settings.json", []byte(strings.Replace(text, `"cores": 1`, `"cores": 0`, 1)))
	var faults *FaultsError
	is.True(errors.As(err, &faults))
	is.Equal(len(faults.Faults()), 1)
}

// A reload must name the settings that it cannot apply, and no others.
func TestNeedsRestart(t *testing.T) {
	is := is.New(t)
	parse := func(change ...string) Host {
		s, err := ParseHost("settings.json", []byte(strings.NewReplacer(change...).Replace(renderTemplate(t))))
		is.NoErr(err)
		return s
	}
	started := parse()
	is.Equal(started.NeedsRestart(parse()), nil)
	is.Equal(started.NeedsRestart(parse(`"memory_mebibytes": 284`, `"memory_mebibytes": 200`)), nil)
	is.Equal(started.NeedsRestart(parse(`"failure_domain": "brisbane-a"`, `"failure_domain": "goldcoast-b"`)), []string{"failure_domain"})
	is.Equal(started.NeedsRestart(parse(`"cores": 1`, `"cores": 2`)), []string{"machine"})
}
