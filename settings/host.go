package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"time"

	"chervilhollow/order"
)

type (
	// Host holds the settings of an entry host, the process that accepts jobs
	// from clients of the platform and runs their tasks on workers. It is
	// immutable.
	Host struct{ raw hostFields }

	hostFields struct {
		PeerAddress       string        `json:"peer_address" help:"IP address and port for links between processes; others dial it"`
		PeerListenAddress string        `json:"peer_listen_address" help:"IP address and port on which links are taken, if others dial this host through a forwarder; empty: peer_address"`
		AdminAddress      string        `json:"admin_address" help:"IP address and port for metrics and health"`
		CallerAddress     string        `json:"caller_address" help:"IP address and port for clients"`
		ReadyAddress      string        `json:"ready_address" help:"IP address and port for the platform's look at readiness"`
		StoreAddress      string        `json:"store_address" help:"IP address and port of the platform's store"`
		AdviceAddress     string        `json:"advice_address" help:"IP address and port of the advice service; empty where there is none"`
		FailureDomain     string        `json:"failure_domain" help:"failure domain of this host"`
		PeerSecret        string        `json:"peer_secret" help:"secret that all processes of the deployment share, at least 16 characters"`
		LogLevel          string        `json:"log_level" help:"debug, info, warn or error"`
		Machine           hostResources `json:"machine" help:"what the process may use"`
		Limits            hostLimits    `json:"limits" help:"bounds that the platform sets"`
	}

	hostResources struct {
		Cores           int     `json:"cores" help:"processor cores"`
		CPUFraction     float64 `json:"processor" help:"part of the cores that the process may use"`
		MemoryMebibytes int64   `json:"memory_mebibytes" help:"memory of the process in MiB"`
	}

	hostLimits struct {
		MaxLease    Duration `json:"max_lease" help:"longest lease of a worker"`
		KeepEnded   Duration `json:"keep_ended" help:"time that ended jobs are shown"`
		Cancel      Duration `json:"cancel" help:"time after the answer to a cancellation in which tasks of the job may still start"`
		StoreWrites float64  `json:"store_writes" help:"writes a second that the store takes from all hosts together"`
	}
)

// gcMemoryFraction is the fraction of the memory that is used as the garbage
// collector's limit. The rest is left to buffers of the kernel and of C code.
const gcMemoryFraction = 0.7

// defaultStoreWrites is the write rate, per second, of the store in the
// smallest deployments.
const defaultStoreWrites = 400

func defaultHost() hostFields {
	return hostFields{
		LogLevel: "info",
		Machine:  hostResources{Cores: 1, CPUFraction: 1, MemoryMebibytes: 256},
		Limits: hostLimits{
			MaxLease:    Duration(10 * time.Second),
			KeepEnded:   Duration(2 * time.Minute),
			Cancel:      Duration(3 * time.Second),
			StoreWrites: defaultStoreWrites,
		},
	}
}

// HostCommand parses the command line of the entry host. Help is printed to
// out; the error is then flag.ErrHelp.
func HostCommand(args []string, out io.Writer) (Command, error) {
	return parseCommand("host", "Takes jobs of clients on the users' platform and runs their tasks on workers.",
		defaultHost(), args, out, func(flags *flag.FlagSet, c *Command) {
			flags.DurationVar(&c.heartbeat, "worker-heartbeat", 0,
				"interval at which workers renew their entries in the discovery (0s: unknown)")
		})
}

// Host reads and checks the settings file of an entry host.
func (c Command) Host() (Host, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return Host{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseHost(c.file, data)
}

// ParseHost decodes and checks the settings of an entry host. The error is a
// FaultsError with all faults; file is the name that it reports.
func ParseHost(file string, data []byte) (Host, error) {
	fields := defaultHost()
	c := Decode(file, data, &fields)
	c.DialAddress("peer_address", fields.PeerAddress)
	if fields.PeerListenAddress != "" {
		c.Address("peer_listen_address", fields.PeerListenAddress)
	}
	c.Address("admin_address", fields.AdminAddress)
	c.Address("caller_address", fields.CallerAddress)
	c.Address("ready_address", fields.ReadyAddress)
	c.Address("store_address", fields.StoreAddress)
	if fields.AdviceAddress != "" {
		c.Address("advice_address", fields.AdviceAddress)
	}
	c.Distinct(map[string]string{
		"peer_address": fields.PeerAddress, "admin_address": fields.AdminAddress,
		"caller_address": fields.CallerAddress, "ready_address": fields.ReadyAddress,
	})
	c.domainName("failure_domain", fields.FailureDomain)
	c.secret("peer_secret", fields.PeerSecret)
	c.logLevel("log_level", fields.LogLevel)
	c.Positive("machine.cores", float64(fields.Machine.Cores))
	c.Positive("machine.processor", fields.Machine.CPUFraction)
	c.Positive("machine.memory_mebibytes", float64(fields.Machine.MemoryMebibytes))
	c.Positive("limits.max_lease", float64(fields.Limits.MaxLease))
	c.Positive("limits.keep_ended", float64(fields.Limits.KeepEnded))
	c.Positive("limits.cancel", float64(fields.Limits.Cancel))
	c.Positive("limits.store_writes", fields.Limits.StoreWrites)
	return Host{raw: fields}, c.Err()
}

// NeedsRestart returns the names of the settings that differ in next and take
// effect only when the process starts again. The log level and the memory can
// change while it runs.
func (s Host) NeedsRestart(next Host) []string {
	current := s.raw
	current.LogLevel = next.raw.LogLevel
	current.Machine.MemoryMebibytes = next.raw.Machine.MemoryMebibytes
	var names []string
	a, b := reflect.ValueOf(current), reflect.ValueOf(next.raw)
	for i := range a.NumField() {
		if a.Field(i).Interface() != b.Field(i).Interface() {
			names = append(names, a.Type().Field(i).Tag.Get("json"))
		}
	}
	return names
}

// PeerAddress returns the IP address and port that other processes dial.
func (s Host) PeerAddress() string { return s.raw.PeerAddress }

// PeerListenAddress returns the IP address and port on which connections from
// other processes are accepted. It differs from PeerAddress if they connect
// through a forwarder.
func (s Host) PeerListenAddress() string {
	if s.raw.PeerListenAddress == "" {
		return s.raw.PeerAddress
	}
	return s.raw.PeerListenAddress
}

// AdminAddress returns the IP address and port for metrics and health.
func (s Host) AdminAddress() string { return s.raw.AdminAddress }

// CallerAddress returns the IP address and port for clients.
func (s Host) CallerAddress() string { return s.raw.CallerAddress }

// ReadyAddress returns the IP address and port for the platform's readiness
// checks.
func (s Host) ReadyAddress() string { return s.raw.ReadyAddress }

// StoreAddress returns the IP address and port of the platform's store.
func (s Host) StoreAddress() string { return s.raw.StoreAddress }

// AdviceAddress returns the IP address and port of the advice service, or an
// empty string if there is none.
func (s Host) AdviceAddress() string { return s.raw.AdviceAddress }

// FailureDomain returns the failure domain of the host.
func (s Host) FailureDomain() order.DomainName { return order.DomainName(s.raw.FailureDomain) }

// PeerSecret returns the secret that all processes of the deployment share.
func (s Host) PeerSecret() string { return s.raw.PeerSecret }

// LogLevel returns debug, info, warn or error.
func (s Host) LogLevel() string { return s.raw.LogLevel }

// Cores returns the number of CPU cores of the machine.
func (s Host) Cores() int { return s.raw.Machine.Cores }

// CPULimit returns how many cores the process may use, such as 0.4.
func (s Host) CPULimit() float64 { return s.raw.Machine.CPUFraction * float64(s.raw.Machine.Cores) }

// MemoryTarget returns the memory limit of the garbage collector in bytes.
func (s Host) MemoryTarget() int64 {
	return int64(float64(s.raw.Machine.MemoryMebibytes<<20) * gcMemoryFraction)
}

// MaxLease returns the longest lease of a worker.
func (s Host) MaxLease() time.Duration { return time.Duration(s.raw.Limits.MaxLease) }

// CancelBound returns how long after the answer to a cancellation tasks of the
// job may still start.
func (s Host) CancelBound() time.Duration { return time.Duration(s.raw.Limits.Cancel) }

// StoreWrites returns how many writes per second the store accepts from all
// entry hosts together.
func (s Host) StoreWrites() float64 { return s.raw.Limits.StoreWrites }

// KeepEnded returns how long the state of an ended job stays available.
func (s Host) KeepEnded() time.Duration { return time.Duration(s.raw.Limits.KeepEnded) }
