package chart

import (
	"fmt"
	"io"
	"os"
	"time"

	"chervilhollow/order"
)

type (
	// Host holds the settings of an entry host on the users' platform.
	Host struct{ w hostWire }

	hostWire struct {
		PeerAddress   string    `json:"peer_address" help:"IP address and port for links between processes; others dial it"`
		PeerListen    string    `json:"peer_listen_address" help:"IP address and port on which links are taken, if others dial this host through a forwarder; empty: peer_address"`
		AdminAddress  string    `json:"admin_address" help:"IP address and port for metrics and health"`
		CallerAddress string    `json:"caller_address" help:"IP address and port for clients"`
		ReadyAddress  string    `json:"ready_address" help:"IP address and port for the platform's look at readiness"`
		StoreAddress  string    `json:"store_address" help:"IP address and port of the platform's store"`
		AdviceAddress string    `json:"advice_address" help:"IP address and port of the advice service; empty where there is none"`
		FailureDomain string    `json:"failure_domain" help:"failure domain of this host"`
		PeerSecret    string    `json:"peer_secret" help:"secret that all processes of the deployment share, at least 16 characters"`
		LogLevel      string    `json:"log_level" help:"debug, info, warn or error"`
		Machine       hostSize  `json:"machine" help:"what the process may use"`
		Limits        hostLimit `json:"limits" help:"bounds that the platform sets"`
	}

	hostSize struct {
		Cores     int     `json:"cores" help:"processor cores"`
		Processor float64 `json:"processor" help:"part of the cores that the process may use"`
		Mebibytes int64   `json:"memory_mebibytes" help:"memory of the process in MiB"`
	}

	hostLimit struct {
		MaxLease  Duration `json:"max_lease" help:"longest lease of a worker"`
		KeepEnded Duration `json:"keep_ended" help:"time that ended jobs are shown"`
		Writes    float64  `json:"store_writes" help:"writes a second that the store takes from all hosts together"`
	}
)

// memoryShare is the part of the memory that the garbage collector aims to
// stay within; the rest holds buffers of the kernel and of C code.
const memoryShare = 0.7

// defaultStoreWrites is the write rate of the store on the smallest
// deployments, a second.
const defaultStoreWrites = 400

func defaultHost() hostWire {
	return hostWire{
		LogLevel: "info",
		Machine:  hostSize{Cores: 1, Processor: 1, Mebibytes: 256},
		Limits: hostLimit{
			MaxLease:  Duration(10 * time.Second),
			KeepEnded: Duration(2 * time.Minute),
			Writes:    defaultStoreWrites,
		},
	}
}

// HostCommand reads the command line of the entry host.
func HostCommand(args []string, out io.Writer) (Command, error) {
	return parseCommand("host", "Takes jobs of clients on the users' platform and runs their tasks on workers.",
		defaultHost(), args, out)
}

// Host reads the settings file as that of an entry host.
func (c Command) Host() (Host, error) {
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return Host{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseHost(c.settings, data)
}

// ParseHost returns the settings of an entry host, or all faults of the file.
func ParseHost(file string, data []byte) (Host, error) {
	w := defaultHost()
	c := Decode(file, data, &w)
	c.DialAddress("peer_address", w.PeerAddress)
	if w.PeerListen != "" {
		c.Address("peer_listen_address", w.PeerListen)
	}
	c.Address("admin_address", w.AdminAddress)
	c.Address("caller_address", w.CallerAddress)
	c.Address("ready_address", w.ReadyAddress)
	c.Address("store_address", w.StoreAddress)
	if w.AdviceAddress != "" {
		c.Address("advice_address", w.AdviceAddress)
	}
	c.Distinct(map[string]string{
		"peer_address": w.PeerAddress, "admin_address": w.AdminAddress,
		"caller_address": w.CallerAddress, "ready_address": w.ReadyAddress,
	})
	c.domain("failure_domain", w.FailureDomain)
	c.secret("peer_secret", w.PeerSecret)
	c.level("log_level", w.LogLevel)
	c.Positive("machine.cores", float64(w.Machine.Cores))
	c.Positive("machine.processor", w.Machine.Processor)
	c.Positive("machine.memory_mebibytes", float64(w.Machine.Mebibytes))
	c.Positive("limits.max_lease", float64(w.Limits.MaxLease))
	c.Positive("limits.keep_ended", float64(w.Limits.KeepEnded))
	c.Positive("limits.store_writes", w.Limits.Writes)
	return Host{w: w}, c.Err()
}

// PeerAddress returns the address for links between processes.
func (s Host) PeerAddress() string { return s.w.PeerAddress }

// PeerListen returns the address on which links between processes are taken.
func (s Host) PeerListen() string {
	if s.w.PeerListen == "" {
		return s.w.PeerAddress
	}
	return s.w.PeerListen
}

// AdminAddress returns the address for metrics and health.
func (s Host) AdminAddress() string { return s.w.AdminAddress }

// CallerAddress returns the address for clients.
func (s Host) CallerAddress() string { return s.w.CallerAddress }

// ReadyAddress returns the address for the platform's look at readiness.
func (s Host) ReadyAddress() string { return s.w.ReadyAddress }

// StoreAddress returns the address of the platform's store.
func (s Host) StoreAddress() string { return s.w.StoreAddress }

// AdviceAddress returns the address of the advice service, or nothing.
func (s Host) AdviceAddress() string { return s.w.AdviceAddress }

// FailureDomain returns the failure domain of the host.
func (s Host) FailureDomain() order.DomainName { return order.DomainName(s.w.FailureDomain) }

// PeerSecret returns the secret that all processes share.
func (s Host) PeerSecret() string { return s.w.PeerSecret }

// LogLevel returns the name of the log level.
func (s Host) LogLevel() string { return s.w.LogLevel }

// Cores returns the number of processor cores.
func (s Host) Cores() int { return s.w.Machine.Cores }

// Processor returns how many cores the process may use, in parts of a core.
func (s Host) Processor() float64 { return s.w.Machine.Processor * float64(s.w.Machine.Cores) }

// MemoryTarget returns what the garbage collector aims to stay within, in
// bytes.
func (s Host) MemoryTarget() int64 {
	return int64(float64(s.w.Machine.Mebibytes<<20) * memoryShare)
}

// MaxLease returns the longest lease of a worker.
func (s Host) MaxLease() time.Duration { return time.Duration(s.w.Limits.MaxLease) }

// StoreWrites returns how many writes a second the store takes.
func (s Host) StoreWrites() float64 { return s.w.Limits.Writes }

// KeepEnded returns how long ended jobs are shown.
func (s Host) KeepEnded() time.Duration { return time.Duration(s.w.Limits.KeepEnded) }
