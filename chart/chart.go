// Package chart reads the settings files of the programs: JSON with comments,
// in which every fault is reported with file, line and reason.
package chart

import (
	"time"

	"chervilhollow/order"
)

type (
	// Common holds the settings that gate and placer share.
	Common struct{ w commonWire }

	// Gate holds the settings of a gate.
	Gate struct {
		Common
		w gateWire
	}

	// Placer holds the settings of a placer.
	Placer struct {
		Common
		w placerWire
	}

	commonWire struct {
		PeerAddress   string `json:"peer_address" help:"IP address and port for links between processes; others dial it"`
		AdminAddress  string `json:"admin_address" help:"IP address and port for metrics, health and readiness"`
		FailureDomain string `json:"failure_domain" help:"failure domain of this host"`
		StoreURL      string `json:"store_url" help:"URL of the platform's key-value store"`
		HostListURL   string `json:"host_list_url" help:"URL of the platform's host list"`
		PeerSecret    string `json:"peer_secret" help:"secret that all processes of the deployment share, at least 16 characters"`
		LogLevel      string `json:"log_level" help:"debug, info, warn or error"`
	}

	gateWire struct {
		commonWire
		CallerAddress string    `json:"caller_address" help:"IP address and port for callers"`
		Limits        gateLimit `json:"limits" help:"limits of the gate"`
	}

	gateLimit struct {
		MaxBodyBytes    int64    `json:"max_body_bytes" help:"largest request body"`
		MaxOpenBytes    int64    `json:"max_open_bytes" help:"bytes that the bodies of all open submissions may have"`
		MaxHeaderBytes  int      `json:"max_header_bytes" help:"largest request header"`
		MaxOpenRequests int      `json:"max_open_requests" help:"requests that may wait for an answer at once"`
		MaxTasks        int      `json:"max_tasks" help:"tasks that one request may ask for"`
		HeaderTimeout   Duration `json:"header_timeout" help:"time to read a request's header"`
		ReadTimeout     Duration `json:"read_timeout" help:"time to read a whole request"`
		IdleTimeout     Duration `json:"idle_timeout" help:"time an idle caller connection stays open"`
		DefaultDeadline Duration `json:"default_deadline" help:"deadline of an attached request that names none"`
		MaxDeadline     Duration `json:"max_deadline" help:"longest deadline of a request"`
		MaxWait         Duration `json:"max_wait" help:"longest wait for a result in one call"`
		CallTimeout     Duration `json:"call_timeout" help:"time a status or cancel call may take"`
		ResendInterval  Duration `json:"resend_interval" help:"time without acknowledgement before a message is sent again"`
		StopTimeout     Duration `json:"stop_timeout" help:"time that open requests get at a planned stop"`
		DrainDelay      Duration `json:"drain_delay" help:"time that new requests are still taken at a planned stop after the gate reports not ready"`
		StopLinger      Duration `json:"stop_linger" help:"time that new requests are still refused with an answer at a planned stop"`
		TeamRate        float64  `json:"team_rate" help:"requests per second of one team at this gate"`
		TeamBurst       int      `json:"team_burst" help:"requests of one team above the rate at once"`
	}

	placerWire struct {
		commonWire
		Limits placerLimit  `json:"limits" help:"limits of the placer"`
		Policy placerPolicy `json:"policy" help:"placement policy; the other values are baselines for measurements"`
	}

	placerPolicy struct {
		WorkerChoice string `json:"worker_choice" help:"best_fit, or random"`
		TeamOrder    string `json:"team_order" help:"share: the team furthest below its share first; or arrival"`
		CorrectSizes bool   `json:"correct_sizes" help:"correct declared sizes by learned use"`
		Cooldown     bool   `json:"cooldown" help:"keep work from workers that fail what runs elsewhere"`
	}

	placerLimit struct {
		QueueLength     int      `json:"queue_length" help:"requests that may wait in one request partition"`
		TeamQueueLength int      `json:"team_queue_length" help:"requests of one team that may wait in one request partition"`
		BidLength       int      `json:"bid_length" help:"bids that may wait in one worker group"`
		InboxLength     int      `json:"inbox_length" help:"messages that may wait for one partition"`
		CandidateGroups int      `json:"candidate_groups" help:"worker groups that a task bids at"`
		RetryBudget     float64  `json:"retry_budget" help:"retries as a fraction of requests"`
		ResultRetention Duration `json:"result_retention" help:"time that outcomes of detached requests are kept"`
		StopTimeout     Duration `json:"stop_timeout" help:"time that handover gets at a planned stop"`
	}
)

const (
	longestDeadline = 7 * 24 * time.Hour

	bestFit      = "best_fit"
	randomChoice = "random"
	byShare      = "share"
	byArrival    = "arrival"
)

func defaultCommon() commonWire { return commonWire{LogLevel: "info"} }

func defaultGate() gateWire {
	return gateWire{
		commonWire: defaultCommon(),
		Limits: gateLimit{
			MaxBodyBytes:    1 << 20,
			MaxOpenBytes:    128 << 20,
			MaxHeaderBytes:  16 << 10,
			MaxOpenRequests: 16384,
			MaxTasks:        4096,
			HeaderTimeout:   Duration(2 * time.Second),
			ReadTimeout:     Duration(10 * time.Second),
			IdleTimeout:     Duration(time.Minute),
			DefaultDeadline: Duration(time.Minute),
			MaxDeadline:     Duration(24 * time.Hour),
			MaxWait:         Duration(time.Minute),
			CallTimeout:     Duration(5 * time.Second),
			ResendInterval:  Duration(250 * time.Millisecond),
			StopTimeout:     Duration(30 * time.Second),
			DrainDelay:      Duration(2 * time.Second),
			StopLinger:      Duration(500 * time.Millisecond),
			TeamRate:        2000,
			TeamBurst:       4000,
		},
	}
}

func defaultPlacer() placerWire {
	return placerWire{
		commonWire: defaultCommon(),
		Limits: placerLimit{
			QueueLength:     20000,
			TeamQueueLength: 10000,
			BidLength:       20000,
			InboxLength:     8192,
			CandidateGroups: 2,
			RetryBudget:     0.1,
			ResultRetention: Duration(24 * time.Hour),
			StopTimeout:     Duration(30 * time.Second),
		},
		Policy: placerPolicy{WorkerChoice: bestFit, TeamOrder: byShare, CorrectSizes: true, Cooldown: true},
	}
}

// ParseGate returns the settings of a gate, or all faults of the file.
func ParseGate(file string, data []byte) (Gate, error) {
	w := defaultGate()
	c := Decode(file, data, &w)
	c.common(w.commonWire)
	c.Address("caller_address", w.CallerAddress)
	c.Distinct(map[string]string{
		"admin_address": w.AdminAddress, "caller_address": w.CallerAddress, "peer_address": w.PeerAddress,
	})
	c.gateLimits(w.Limits)
	return Gate{Common: Common{w: w.commonWire}, w: w}, c.Err()
}

// ParsePlacer returns the settings of a placer, or all faults of the file.
func ParsePlacer(file string, data []byte) (Placer, error) {
	w := defaultPlacer()
	c := Decode(file, data, &w)
	c.common(w.commonWire)
	c.Distinct(map[string]string{"admin_address": w.AdminAddress, "peer_address": w.PeerAddress})
	c.placerLimits(w.Limits)
	c.oneOf("policy.worker_choice", w.Policy.WorkerChoice, bestFit, randomChoice)
	c.oneOf("policy.team_order", w.Policy.TeamOrder, byShare, byArrival)
	return Placer{Common: Common{w: w.commonWire}, w: w}, c.Err()
}

func (c *Checker) common(w commonWire) {
	c.DialAddress("peer_address", w.PeerAddress)
	c.Address("admin_address", w.AdminAddress)
	c.domain("failure_domain", w.FailureDomain)
	c.URL("store_url", w.StoreURL)
	c.URL("host_list_url", w.HostListURL)
	c.secret("peer_secret", w.PeerSecret)
	c.level("log_level", w.LogLevel)
}

func (c *Checker) gateLimits(l gateLimit) {
	c.Positive("limits.max_body_bytes", float64(l.MaxBodyBytes))
	if l.MaxOpenBytes < l.MaxBodyBytes {
		c.Fault("limits.max_open_bytes", "must be at least max_body_bytes")
	}
	c.Positive("limits.max_header_bytes", float64(l.MaxHeaderBytes))
	c.Positive("limits.max_open_requests", float64(l.MaxOpenRequests))
	c.Positive("limits.max_tasks", float64(l.MaxTasks))
	c.Positive("limits.header_timeout", float64(l.HeaderTimeout))
	c.Positive("limits.read_timeout", float64(l.ReadTimeout))
	c.Positive("limits.idle_timeout", float64(l.IdleTimeout))
	c.Positive("limits.default_deadline", float64(l.DefaultDeadline))
	c.Positive("limits.max_deadline", float64(l.MaxDeadline))
	c.atMost("limits.max_deadline", time.Duration(l.MaxDeadline), longestDeadline)
	c.atMost("limits.default_deadline", time.Duration(l.DefaultDeadline), time.Duration(l.MaxDeadline))
	c.Positive("limits.max_wait", float64(l.MaxWait))
	c.Positive("limits.call_timeout", float64(l.CallTimeout))
	c.Positive("limits.resend_interval", float64(l.ResendInterval))
	c.Positive("limits.stop_timeout", float64(l.StopTimeout))
	if l.DrainDelay < 0 {
		c.Fault("limits.drain_delay", "must not be negative")
	}
	if l.StopLinger < 0 {
		c.Fault("limits.stop_linger", "must not be below zero")
	}
	c.Positive("limits.team_rate", l.TeamRate)
	c.Positive("limits.team_burst", float64(l.TeamBurst))
}

func (c *Checker) placerLimits(l placerLimit) {
	c.Positive("limits.queue_length", float64(l.QueueLength))
	c.Positive("limits.team_queue_length", float64(l.TeamQueueLength))
	c.Positive("limits.bid_length", float64(l.BidLength))
	c.Positive("limits.inbox_length", float64(l.InboxLength))
	c.Positive("limits.candidate_groups", float64(l.CandidateGroups))
	c.Positive("limits.result_retention", float64(l.ResultRetention))
	c.Positive("limits.stop_timeout", float64(l.StopTimeout))
	if l.RetryBudget < 0 || l.RetryBudget > 1 {
		c.Fault("limits.retry_budget", "must be between 0 and 1")
	}
}

// PeerAddress returns the address for links between processes.
func (s Common) PeerAddress() string { return s.w.PeerAddress }

// AdminAddress returns the address for metrics, health and readiness.
func (s Common) AdminAddress() string { return s.w.AdminAddress }

// FailureDomain returns the failure domain of the host.
func (s Common) FailureDomain() order.DomainName { return order.DomainName(s.w.FailureDomain) }

// StoreURL returns the URL of the key-value store.
func (s Common) StoreURL() string { return s.w.StoreURL }

// HostListURL returns the URL of the host list.
func (s Common) HostListURL() string { return s.w.HostListURL }

// PeerSecret returns the secret that all processes share.
func (s Common) PeerSecret() string { return s.w.PeerSecret }

// LogLevel returns the name of the log level.
func (s Common) LogLevel() string { return s.w.LogLevel }

// CallerAddress returns the address for callers.
func (s Gate) CallerAddress() string { return s.w.CallerAddress }

// MaxBodyBytes returns the size of the largest request body.
func (s Gate) MaxBodyBytes() int64 { return s.w.Limits.MaxBodyBytes }

// MaxOpenBytes returns how many bytes the bodies of all open submissions may
// have.
func (s Gate) MaxOpenBytes() int64 { return s.w.Limits.MaxOpenBytes }

// MaxHeaderBytes returns the size of the largest request header.
func (s Gate) MaxHeaderBytes() int { return s.w.Limits.MaxHeaderBytes }

// MaxOpenRequests returns how many requests may wait for an answer at once.
func (s Gate) MaxOpenRequests() int { return s.w.Limits.MaxOpenRequests }

// MaxTasks returns how many tasks one request may ask for.
func (s Gate) MaxTasks() int { return s.w.Limits.MaxTasks }

// HeaderTimeout returns how long reading a request's header may take.
func (s Gate) HeaderTimeout() time.Duration { return time.Duration(s.w.Limits.HeaderTimeout) }

// ReadTimeout returns how long reading a whole request may take.
func (s Gate) ReadTimeout() time.Duration { return time.Duration(s.w.Limits.ReadTimeout) }

// IdleTimeout returns how long an idle caller connection stays open.
func (s Gate) IdleTimeout() time.Duration { return time.Duration(s.w.Limits.IdleTimeout) }

// DefaultDeadline returns the deadline of an attached request that names none.
func (s Gate) DefaultDeadline() time.Duration { return time.Duration(s.w.Limits.DefaultDeadline) }

// MaxDeadline returns the longest deadline of a request.
func (s Gate) MaxDeadline() time.Duration { return time.Duration(s.w.Limits.MaxDeadline) }

// MaxWait returns the longest wait for a result in one call.
func (s Gate) MaxWait() time.Duration { return time.Duration(s.w.Limits.MaxWait) }

// CallTimeout returns how long a status or cancel call may take.
func (s Gate) CallTimeout() time.Duration { return time.Duration(s.w.Limits.CallTimeout) }

// ResendInterval returns the time without acknowledgement before a message is
// sent again.
func (s Gate) ResendInterval() time.Duration { return time.Duration(s.w.Limits.ResendInterval) }

// StopTimeout returns the time that open requests get at a planned stop.
func (s Gate) StopTimeout() time.Duration { return time.Duration(s.w.Limits.StopTimeout) }

// DrainDelay returns how long new requests are still taken at a planned stop
// after the gate reports that it is not ready.
func (s Gate) DrainDelay() time.Duration { return time.Duration(s.w.Limits.DrainDelay) }

// StopLinger returns how long new requests are still refused with an answer at
// a planned stop.
func (s Gate) StopLinger() time.Duration { return time.Duration(s.w.Limits.StopLinger) }

// TeamRate returns the requests per second of one team at this gate.
func (s Gate) TeamRate() float64 { return s.w.Limits.TeamRate }

// TeamBurst returns the requests of one team above the rate at once.
func (s Gate) TeamBurst() int { return s.w.Limits.TeamBurst }

// QueueLength returns how many requests may wait in one request partition.
func (s Placer) QueueLength() int { return s.w.Limits.QueueLength }

// TeamQueueLength returns how many requests of one team may wait in one
// request partition.
func (s Placer) TeamQueueLength() int { return s.w.Limits.TeamQueueLength }

// BidLength returns how many bids may wait in one worker group.
func (s Placer) BidLength() int { return s.w.Limits.BidLength }

// InboxLength returns how many messages may wait for one partition.
func (s Placer) InboxLength() int { return s.w.Limits.InboxLength }

// CandidateGroups returns how many worker groups a task bids at.
func (s Placer) CandidateGroups() int { return s.w.Limits.CandidateGroups }

// RetryBudget returns the retries as a fraction of requests.
func (s Placer) RetryBudget() float64 { return s.w.Limits.RetryBudget }

// ResultRetention returns how long outcomes of detached requests are kept.
func (s Placer) ResultRetention() time.Duration { return time.Duration(s.w.Limits.ResultRetention) }

// StopTimeout returns the time that handover gets at a planned stop.
func (s Placer) StopTimeout() time.Duration { return time.Duration(s.w.Limits.StopTimeout) }

// RandomWorker reports whether any worker with room is taken instead of the
// best one.
func (s Placer) RandomWorker() bool { return s.w.Policy.WorkerChoice == randomChoice }

// ArrivalOrder reports whether shares are left out of the order of placement.
func (s Placer) ArrivalOrder() bool { return s.w.Policy.TeamOrder == byArrival }

// CorrectSizes reports whether declared sizes are corrected by learned use.
func (s Placer) CorrectSizes() bool { return s.w.Policy.CorrectSizes }

// Cooldown reports whether workers that fail what runs elsewhere get no work
// for a time.
func (s Placer) Cooldown() bool { return s.w.Policy.Cooldown }
