package entryhost

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/scheduler"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// keyDecoder decodes a configuration that lists API keys separated by spaces.
type keyDecoder struct{}

func (keyDecoder) OperatorPrefix() string             { return "op/" }
func (keyDecoder) WorkerPrefix() string               { return "servers/" }
func (keyDecoder) WorkerID(key string) order.WorkerID { return order.WorkerID(key) }
func (keyDecoder) DecodeWorker(storage.Entry) (scheduler.WorkerInfo, error) {
	return scheduler.WorkerInfo{}, nil
}

func (keyDecoder) DecodeOperator(entries []storage.Entry) (*policy.Config, []order.DomainName, error) {
	for _, e := range entries {
		if e.Key() == "op/config" {
			team := policy.NewTeam("engravers", strings.Fields(string(e.Value())), 1, order.Resources{})
			return policy.NewConfig(order.Revision(e.Version()), nil, []policy.Team{team}), nil, nil
		}
	}
	return nil, nil, nil
}

// A new owner lists the operators' documents while its watch of them goes on.
// A list that is answered late must not bring a withdrawn key back, nor return
// a failure domain to use.
func TestLateListKeepsNewerDocuments(t *testing.T) {
	is := is.New(t)
	registry := gauge.New(zerolog.Nop())
	h := New("10.0.0.1:7000", "quay", "a secret of sixteen", NewDependencies(nil, nil, nil, keyDecoder{}),
		scheduler.NewLimits(time.Second, time.Minute), timers.New(), registry, zerolog.Nop())
	old := []storage.Entry{storage.NewEntry("op/config", []byte("key-1 key-2"), 5)}
	h.replaceOperatorDocs(old, 6)
	_, ok := h.config.TeamOf("key-1")
	is.True(ok)
	h.replaceOperatorDocs([]storage.Entry{storage.NewEntry("op/config", []byte("key-2"), 8)}, 8)
	h.replaceOperatorDocs(old, 6)
	_, ok = h.config.TeamOf("key-1")
	is.True(!ok) // the key was withdrawn at version 8
	_, ok = h.config.TeamOf("key-2")
	is.True(ok)
	is.Equal(registry.Counter("pier.operator_list_older"), int64(1))
}
