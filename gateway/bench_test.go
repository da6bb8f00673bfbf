package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkGate measures requests over HTTP that the gate forwards to the owner
// of the partition, with many concurrent callers.
func BenchmarkGate(b *testing.B) {
	c := newTestCluster(b)
	g := c.startGate(`"team_rate": 1e9, "team_burst": 1000000000`)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	const body = `{"kind":"preview","cores":1,"memory_mb":1,"payload":"dGFn"}`
	b.ReportAllocs()
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/v1/requests", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			r.Header.Set("Authorization", "Bearer toys-key")
			response, err := client.Do(r)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
				return
			}
		}
	})
	b.StopTimer()
	g.gate.Stop()
	<-g.done
}
