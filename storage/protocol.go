package storage

// Bodies of the store's HTTP protocol, which docs/store.md describes.
type (
	entryDocument struct {
		Key     string  `json:"key"`
		Value   []byte  `json:"value,omitempty"`
		Version Version `json:"version"`
		Deleted bool    `json:"deleted,omitempty"`
	}

	listDocument struct {
		Entries []entryDocument `json:"entries"`
		Version Version         `json:"version"`
	}

	watchDocument struct {
		Events  []entryDocument `json:"events"`
		Version Version         `json:"version"`
	}

	swapDocument struct {
		Key      string  `json:"key"`
		Expected Version `json:"expected"`
		Value    []byte  `json:"value,omitempty"`
		Lease    LeaseID `json:"lease,omitempty"`
	}

	deleteDocument struct {
		Key      string  `json:"key"`
		Expected Version `json:"expected"`
	}

	versionDocument struct {
		Version Version `json:"version"`
	}

	grantDocument struct {
		TTLMillis int64 `json:"ttl_ms"`
	}

	leaseDocument struct {
		Lease LeaseID `json:"lease"`
	}

	errorDocument struct {
		Error string `json:"error"`
	}
)

const (
	pathGet       = "/v1/get"
	pathList      = "/v1/list"
	pathWatch     = "/v1/watch"
	pathSwap      = "/v1/swap"
	pathDelete    = "/v1/delete"
	pathGrant     = "/v1/grant"
	pathKeepAlive = "/v1/keep_alive"
	pathRevoke    = "/v1/revoke"
)

// protocolErrors maps the error names of the protocol. All of these errors mean
// that the call had no effect.
var protocolErrors = map[string]error{
	"conflict":        ErrConflict,
	"compacted":       ErrCompacted,
	"lease_ended":     ErrLeaseEnded,
	"value_too_large": ErrValueTooLarge,
	"unavailable":     ErrUnavailable,
}
