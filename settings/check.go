package settings

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
	// Fault is one error in a settings file.
	Fault struct {
		file   string
		line   int
		reason string
	}

	// FaultsError holds all faults of a settings file. Its text has one line
	// for each fault.
	FaultsError struct {
		faults []Fault
	}

	// Checker validates the fields of a decoded file and collects the faults.
	// A path names a field, such as "limits.team_rate" or "teams[0].name".
	Checker struct {
		decoder *decoder
	}
)

// minSecretLength is the minimum number of characters of the peer secret; 16
// resist guessing over the network.
const minSecretLength = 16

// String implements fmt.Stringer.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.file, f.line, f.reason) }

// Line returns the line of the fault, counted from 1.
func (f Fault) Line() int { return f.line }

// Reason returns the path of the field and what is wrong with it.
func (f Fault) Reason() string { return f.reason }

// Faults returns the faults, sorted by line.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns a FaultsError with all faults so far, or nil if there is none.
func (c *Checker) Err() error {
	if len(c.decoder.faults) == 0 {
		return nil
	}
	faults := append([]Fault(nil), c.decoder.faults...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].line < faults[j].line })
	return &FaultsError{faults: faults}
}

// Fault adds a fault of the field with the given path. It does nothing if the
// whole file could not be read.
func (c *Checker) Fault(path, format string, args ...any) {
	if c.decoder.unreadable {
		return
	}
	c.decoder.addFault(c.lineOf(path), pathLabel(path)+": "+format, args...)
}

// HasField reports whether the file contains the field.
func (c *Checker) HasField(path string) bool {
	_, ok := c.decoder.lines[path]
	return ok
}

// Required adds a fault if the value is empty, unless the field has one
// already. It reports whether the value is not empty, so that it can be checked
// further.
func (c *Checker) Required(path, value string) bool {
	if value != "" {
		return true
	}
	if !c.HasField(path) {
		c.Fault(path, "missing")
	} else if !c.hasFault(path) {
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

// DialAddress checks an address that other processes dial: the IP address must
// be specified and the port must not be zero.
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
	if value <= 0 && !c.hasFault(path) {
		c.Fault(path, "must be above zero")
	}
}

// Distinct checks that the addresses differ. The keys are the paths of the
// fields; empty addresses are ignored.
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
	if c.Required(path, value) && len(value) < minSecretLength {
		c.Fault(path, "must have at least %d characters", minSecretLength)
	}
}

func (c *Checker) domainName(path, value string) {
	if c.Required(path, value) && strings.ContainsAny(value, "/ \t\n") {
		c.Fault(path, "must not contain slashes or spaces, got %q", value)
	}
}

func (c *Checker) logLevel(path, value string) {
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

// hasFault reports whether the field has a fault already, so that one mistake
// is not reported twice.
func (c *Checker) hasFault(path string) bool {
	for _, f := range c.decoder.faults {
		if strings.HasPrefix(f.reason, path+": ") {
			return true
		}
	}
	return false
}

// lineOf returns the line of the field, or of the nearest enclosing object if
// the file does not contain it.
func (c *Checker) lineOf(path string) int {
	for {
		if line, ok := c.decoder.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return max(c.decoder.lines[""], 1)
		}
		path = path[:cut]
	}
}
