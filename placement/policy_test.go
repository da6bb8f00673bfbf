package placement

import (
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

// Guards against a switch without effect, which would make a benchmark compare
// the policy with itself.
func TestPolicySwitches(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.config = f.config.WithTeam(sheet.NewTeam("big", 4, 100)).WithTeam(sheet.NewTeam("small", 1, 100))
	f.m.load["big"] = 0.4
	f.m.load["small"] = 0.2
	is.True(f.m.teamLoad("big") < f.m.teamLoad("small"))
	f.m.deps = f.m.deps.WithPolicy(Policy{}.WithArrivalOrder(true))
	is.Equal(f.m.teamLoad("big"), f.m.teamLoad("small"))

	task := newTask("big", "r1", 1000)
	for range samplesToRaise {
		f.m.recordUsage(task, amount{cores: 4000, memory: newAmount(task.Size()).memory})
	}
	f.m.deps = f.m.deps.WithPolicy(Policy{}.WithDeclaredSizes(true))
	is.Equal(f.m.estimatedSize(task), newAmount(task.Size()))

	h := newHost(f.workers[0], f.now)
	f.m.deps = f.m.deps.WithPolicy(Policy{}.WithoutCooldown(true))
	for range failureThreshold {
		f.m.countFailure(f.now, h, f.now)
	}
	is.True(h.cooldown.allows(f.now, order.TaskID("big/r1/0")))
	f.m.deps = f.m.deps.WithPolicy(Policy{})
	for range failureThreshold {
		f.m.countFailure(f.now, h, f.now)
	}
	is.True(!h.cooldown.allows(f.now, order.TaskID("big/r1/0")))
}
