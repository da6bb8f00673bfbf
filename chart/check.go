package chart

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

type (
	// Fault is one fault of a settings file.
	Fault struct {
		file   string
		line   int
		reason string
	}

	// FaultsError reports all faults of a settings file.
	FaultsError struct {
		faults []Fault
	}

	// Checker collects the faults of a decoded file.
	Checker struct {
		d *decoder
	}
)

// minSecret is the shortest peer secret; 16 characters resist guessing over
// the network.
const minSecret = 16

// String implements fmt.Stringer.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.file, f.line, f.reason) }

// Line returns the line of the fault.
func (f Fault) Line() int { return f.line }

// Reason returns what is wrong.
func (f Fault) Reason() string { return f.reason }

// Faults returns the faults in order of line.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns a FaultsError, or nil if there is no fault.
func (c *Checker) Err() error {
	if len(c.d.faults) == 0 {
		return nil
	}
	faults := append([]Fault(nil), c.d.faults...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].line < faults[j].line })
	return &FaultsError{faults: faults}
}

// Fault adds a fault of the field with the given path, such as
// "limits.team_rate".
func (c *Checker) Fault(path, format string, args ...any) {
	if c.d.broken {
		return
	}
	c.d.fault(c.lineOf(path), label(path)+": "+format, args...)
}

// Set reports whether the file holds the field.
func (c *Checker) Set(path string) bool {
	_, ok := c.d.lines[path]
	return ok
}

// Required adds a fault if the text is empty. It reports whether the value can
// be checked further.
func (c *Checker) Required(path, value string) bool {
	if value != "" {
		return true
	}
	if !c.Set(path) {
		c.Fault(path, "missing")
	} else if !c.faulty(path) {
		c.Fault(path, "must not be empty")
	}
	return false
}

// Address checks an IP address with a port.
func (c *Checker) Address(path, value string) {
	if !c.Required(path, value) {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fault(path, "want an IP address and port such as 10.0.0.7:7000, got %q", value)
	}
}

// DialAddress checks an address that other processes must be able to reach.
func (c *Checker) DialAddress(path, value string) {
	if !c.Required(path, value) {
		return
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.Fault(path, "want an IP address and port such as 10.0.0.7:7000, got %q", value)
	case address.Addr().IsUnspecified() || address.Port() == 0:
		c.Fault(path, "other processes dial this address, so it needs an exact IP address and port, got %q", value)
	}
}

// URL checks an http or https URL.
func (c *Checker) URL(path, value string) {
	if !c.Required(path, value) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.Fault(path, "want an http or https URL, got %q", value)
	}
}

// Positive checks a number that must be above zero.
func (c *Checker) Positive(path string, value float64) {
	if value <= 0 && !c.faulty(path) {
		c.Fault(path, "must be above zero")
	}
}

// Distinct checks that the listen addresses differ.
func (c *Checker) Distinct(addresses map[string]string) {
	paths := make([]string, 0, len(addresses))
	for path := range addresses {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	used := make(map[string]string)
	for _, path := range paths {
		value := addresses[path]
		if value == "" {
			continue
		}
		if other, ok := used[value]; ok {
			c.Fault(path, "same address as %s", other)
		}
		used[value] = path
	}
}

func (c *Checker) secret(path, value string) {
	if c.Required(path, value) && len(value) < minSecret {
		c.Fault(path, "must have at least %d characters", minSecret)
	}
}

func (c *Checker) domain(path, value string) {
	if c.Required(path, value) && strings.ContainsAny(value, "/ \t\n") {
		c.Fault(path, "must not contain slashes or spaces, got %q", value)
	}
}

func (c *Checker) level(path, value string) {
	if _, err := zerolog.ParseLevel(value); err != nil || value == "" {
		c.Fault(path, "want debug, info, warn or error, got %q", value)
	}
}

func (c *Checker) oneOf(path, value string, known ...string) {
	if !slices.Contains(known, value) {
		c.Fault(path, "want one of %s, got %q", strings.Join(known, ", "), value)
	}
}

func (c *Checker) atMost(path string, value, limit time.Duration) {
	if value > limit {
		c.Fault(path, "must be at most %s", limit)
	}
}

// faulty reports whether the field has a fault already, so that one mistake is
// not reported twice.
func (c *Checker) faulty(path string) bool {
	for _, f := range c.d.faults {
		if strings.HasPrefix(f.reason, path+": ") {
			return true
		}
	}
	return false
}

// lineOf returns the line of the field, or of the object that lacks it.
func (c *Checker) lineOf(path string) int {
	for {
		if line, ok := c.d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return max(c.d.lines[""], 1)
		}
		path = path[:cut]
	}
}
