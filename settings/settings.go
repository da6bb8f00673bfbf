// Package settings reads the command lines and settings files of the programs.
// Settings are JSON with comments; Decode fills a struct with them, and a
// Checker collects all faults of a file with file name, line and reason.
// ParseGate, ParsePlacer and ParseHost apply the defaults and checks of each
// program.
package settings

import (
	"time"

	"chervilhollow/order"
)

type (
	// Common holds the settings that gates and placers share. It is immutable,
	// as are Gate and Placer.
	Common struct{ raw commonFields }

	// Gate holds the settings of a gate. ParseGate returns it.
	Gate struct {
		Common
		raw gateFields
	}

	// Placer holds the settings of a placer. ParsePlacer returns it.
	Placer struct {
		Common
		raw placerFields
	}

	// commonFields and the structs below mirror the settings files. The json
	// tags are the keys, the help tags are printed by --help.
	commonFields struct {
		PeerAddress   string `json:"peer_address" help:"IP address and port for links between processes; others dial it"`
		AdminAddress  string `json:"admin_address" help:"IP address and port for metrics, health and readiness"`
		FailureDomain string `json:"failure_domain" help:"failure domain of this host"`
		StoreURL      string `json:"store_url" help:"URL of the platform's key-value store"`
		HostListURL   string `json:"host_list_url" help:"URL of the platform's host list"`
		PeerSecret    string `json:"peer_secret" help:"secret that all processes of the deployment share, at least 16 characters"`
		LogLevel      string `json:"log_level" help:"debug, info, warn or error"`
	}

	gateFields struct {
		commonFields
		CallerAddress string     `json:"caller_address" help:"IP address and port for callers"`
		Limits        gateLimits `json:"limits" help:"limits of the gate"`
	}

	gateLimits struct {
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

	placerFields struct {
		commonFields
		Limits placerLimits `json:"limits" help:"limits of the placer"`
		Policy placerPolicy `json:"policy" help:"placement policy; the other values are baselines for measurements"`
	}

	placerPolicy struct {
		WorkerChoice string `json:"worker_choice" help:"best_fit, or random"`
		TeamOrder    string `json:"team_order" help:"share: the team furthest below its share first; or arrival"`
		CorrectSizes bool   `json:"correct_sizes" help:"correct declared sizes by learned use"`
		Cooldown     bool   `json:"cooldown" help:"keep work from workers that fail what runs elsewhere"`
	}

	placerLimits struct {
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
	// maxDeadlineLimit is the largest value of limits.max_deadline.
	maxDeadlineLimit = 7 * 24 * time.Hour

	bestFitWorker = "best_fit"
	randomWorker  = "random"
	shareOrder    = "share"
	arrivalOrder  = "arrival"
)

func defaultCommon() commonFields { return commonFields{LogLevel: "info"} }

func defaultGate() gateFields {
	return gateFields{
		commonFields: defaultCommon(),
		Limits: gateLimits{
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

func defaultPlacer() placerFields {
	return placerFields{
		commonFields: defaultCommon(),
		Limits: placerLimits{
			QueueLength:     20000,
			TeamQueueLength: 10000,
			BidLength:       20000,
			InboxLength:     8192,
			CandidateGroups: 2,
			RetryBudget:     0.1,
			ResultRetention: Duration(24 * time.Hour),
			StopTimeout:     Duration(30 * time.Second),
		},
		Policy: placerPolicy{WorkerChoice: bestFitWorker, TeamOrder: shareOrder, CorrectSizes: true, Cooldown: true},
	}
}

// ParseGate decodes and checks the settings of a gate. The error is a
// FaultsError with all faults; file is the name that it reports.
func ParseGate(file string, data []byte) (Gate, error) {
	fields := defaultGate()
	c := Decode(file, data, &fields)
	c.checkCommon(fields.commonFields)
	c.Address("caller_address", fields.CallerAddress)
	c.Distinct(map[string]string{
		"admin_address": fields.AdminAddress, "caller_address": fields.CallerAddress, "peer_address": fields.PeerAddress,
	})
	c.checkGateLimits(fields.Limits)
	return Gate{Common: Common{raw: fields.commonFields}, raw: fields}, c.Err()
}

// ParsePlacer decodes and checks the settings of a placer. The error is a
// FaultsError with all faults; file is the name that it reports.
func ParsePlacer(file string, data []byte) (Placer, error) {
	fields := defaultPlacer()
	c := Decode(file, data, &fields)
	c.checkCommon(fields.commonFields)
	c.Distinct(map[string]string{"admin_address": fields.AdminAddress, "peer_address": fields.PeerAddress})
	c.checkPlacerLimits(fields.Limits)
	c.oneOf("policy.worker_choice", fields.Policy.WorkerChoice, bestFitWorker, randomWorker)
	c.oneOf("policy.team_order", fields.Policy.TeamOrder, shareOrder, arrivalOrder)
	return Placer{Common: Common{raw: fields.commonFields}, raw: fields}, c.Err()
}

func (c *Checker) checkCommon(fields commonFields) {
	c.DialAddress("peer_address", fields.PeerAddress)
	c.Address("admin_address", fields.AdminAddress)
	c.domainName("failure_domain", fields.FailureDomain)
	c.URL("store_url", fields.StoreURL)
	c.URL("host_list_url", fields.HostListURL)
	c.secret("peer_secret", fields.PeerSecret)
	c.logLevel("log_level", fields.LogLevel)
}

func (c *Checker) checkGateLimits(l gateLimits) {
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
	c.atMost("limits.max_deadline", time.Duration(l.MaxDeadline), maxDeadlineLimit)
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

func (c *Checker) checkPlacerLimits(l placerLimits) {
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

// PeerAddress returns the IP address and port for connections between
// processes.
func (s Common) PeerAddress() string { return s.raw.PeerAddress }

// AdminAddress returns the IP address and port for metrics, health and
// readiness.
func (s Common) AdminAddress() string { return s.raw.AdminAddress }

// FailureDomain returns the failure domain of the host.
func (s Common) FailureDomain() order.DomainName { return order.DomainName(s.raw.FailureDomain) }

// StoreURL returns the URL of the platform's key-value store.
func (s Common) StoreURL() string { return s.raw.StoreURL }

// HostListURL returns the URL of the platform's host list.
func (s Common) HostListURL() string { return s.raw.HostListURL }

// PeerSecret returns the secret that all processes of the deployment share.
func (s Common) PeerSecret() string { return s.raw.PeerSecret }

// LogLevel returns debug, info, warn or error.
func (s Common) LogLevel() string { return s.raw.LogLevel }

// CallerAddress returns the IP address and port for callers.
func (s Gate) CallerAddress() string { return s.raw.CallerAddress }

// MaxBodyBytes returns the size of the largest request body.
func (s Gate) MaxBodyBytes() int64 { return s.raw.Limits.MaxBodyBytes }

// MaxOpenBytes returns the maximum total size of the bodies of all open
// submissions.
func (s Gate) MaxOpenBytes() int64 { return s.raw.Limits.MaxOpenBytes }

// MaxHeaderBytes returns the size of the largest request header.
func (s Gate) MaxHeaderBytes() int { return s.raw.Limits.MaxHeaderBytes }

// MaxOpenRequests returns how many requests may wait for a response at once.
func (s Gate) MaxOpenRequests() int { return s.raw.Limits.MaxOpenRequests }

// MaxTasks returns how many tasks one request may have.
func (s Gate) MaxTasks() int { return s.raw.Limits.MaxTasks }

// HeaderTimeout returns how long reading a request's header may take.
func (s Gate) HeaderTimeout() time.Duration { return time.Duration(s.raw.Limits.HeaderTimeout) }

// ReadTimeout returns how long reading a whole request may take.
func (s Gate) ReadTimeout() time.Duration { return time.Duration(s.raw.Limits.ReadTimeout) }

// IdleTimeout returns how long an idle caller connection stays open.
func (s Gate) IdleTimeout() time.Duration { return time.Duration(s.raw.Limits.IdleTimeout) }

// DefaultDeadline returns the deadline of an attached request that sets none.
func (s Gate) DefaultDeadline() time.Duration { return time.Duration(s.raw.Limits.DefaultDeadline) }

// MaxDeadline returns the longest deadline of a request.
func (s Gate) MaxDeadline() time.Duration { return time.Duration(s.raw.Limits.MaxDeadline) }

// MaxWait returns the longest wait for a result in one call.
func (s Gate) MaxWait() time.Duration { return time.Duration(s.raw.Limits.MaxWait) }

// CallTimeout returns how long a status or cancel call may take.
func (s Gate) CallTimeout() time.Duration { return time.Duration(s.raw.Limits.CallTimeout) }

// ResendInterval returns how long the gate waits for an acknowledgement before
// it sends a message again.
func (s Gate) ResendInterval() time.Duration { return time.Duration(s.raw.Limits.ResendInterval) }

// StopTimeout returns how long a planned stop waits for open requests.
func (s Gate) StopTimeout() time.Duration { return time.Duration(s.raw.Limits.StopTimeout) }

// DrainDelay returns how long new requests are still accepted at a planned stop
// after the gate reports that it is not ready.
func (s Gate) DrainDelay() time.Duration { return time.Duration(s.raw.Limits.DrainDelay) }

// StopLinger returns how long new requests are still rejected with a response
// at a planned stop, before the connections are closed.
func (s Gate) StopLinger() time.Duration { return time.Duration(s.raw.Limits.StopLinger) }

// TeamRate returns the rate limit of one team at this gate, in requests per
// second.
func (s Gate) TeamRate() float64 { return s.raw.Limits.TeamRate }

// TeamBurst returns how many requests of one team may exceed the rate limit at
// once.
func (s Gate) TeamBurst() int { return s.raw.Limits.TeamBurst }

// QueueLength returns how many requests may wait in one request partition.
func (s Placer) QueueLength() int { return s.raw.Limits.QueueLength }

// TeamQueueLength returns how many requests of one team may wait in one
// request partition.
func (s Placer) TeamQueueLength() int { return s.raw.Limits.TeamQueueLength }

// BidLength returns how many bids may wait in one worker group.
func (s Placer) BidLength() int { return s.raw.Limits.BidLength }

// InboxLength returns how many messages may wait for one partition.
func (s Placer) InboxLength() int { return s.raw.Limits.InboxLength }

// CandidateGroups returns how many worker groups a queue sends a bid for a task
// to.
func (s Placer) CandidateGroups() int { return s.raw.Limits.CandidateGroups }

// RetryBudget returns the maximum number of retries as a fraction of the
// requests, between 0 and 1.
func (s Placer) RetryBudget() float64 { return s.raw.Limits.RetryBudget }

// ResultRetention returns how long outcomes of detached requests are kept.
func (s Placer) ResultRetention() time.Duration { return time.Duration(s.raw.Limits.ResultRetention) }

// StopTimeout returns how long a planned stop waits for the handover of the
// partitions.
func (s Placer) StopTimeout() time.Duration { return time.Duration(s.raw.Limits.StopTimeout) }

// RandomWorker reports whether a task is placed on a random worker that has
// enough free resources instead of the best fit.
func (s Placer) RandomWorker() bool { return s.raw.Policy.WorkerChoice == randomWorker }

// ArrivalOrder reports whether tasks are placed in order of arrival instead of
// by the fair shares of the teams.
func (s Placer) ArrivalOrder() bool { return s.raw.Policy.TeamOrder == arrivalOrder }

// CorrectSizes reports whether declared sizes are corrected by measured usage.
func (s Placer) CorrectSizes() bool { return s.raw.Policy.CorrectSizes }

// Cooldown reports whether workers on which tasks fail that run on other
// workers get no new tasks for a cooldown period.
func (s Placer) Cooldown() bool { return s.raw.Policy.Cooldown }
