package emulator

import (
	"encoding/json"
	"testing"
	"time"
)

// The results of a fixed seed must not change under any policy unless behaviour changes. A change
// of behaviour updates these counts, and its commit message says why.
func TestResultsOfFixedSeeds(t *testing.T) {
	want := map[string]string{
		"module":      `{"Offered":6848,"Served":3399,"InAim":3245,"Refused":3038,"Failed":411,"WorthOffered":17489,"WorthServed":8500,"Tries":3686,"Attempts":3806,"Cold":513,"Draining":0,"Doubled":0,"Falls":0,"Calls":784,"CallsLost":74,"Units":3686,"UnitsOver":10,"WorthOver":20,"Overshoot":0,"PastCeiling":0,"Last":{"Offered":762,"Served":351,"Refused":411,"Failed":0,"WorthOffered":1905,"WorthServed":970},"P50":67775,"P99":1190911,"Events":47309,"Latency":3399}`,
		"round-robin": `{"Offered":6848,"Served":4785,"InAim":3955,"Refused":976,"Failed":1087,"WorthOffered":17489,"WorthServed":10032,"Tries":11735,"Attempts":11735,"Cold":6840,"Draining":0,"Doubled":0,"Falls":0,"Calls":0,"CallsLost":0,"Units":11735,"UnitsOver":1636,"WorthOver":4322,"Overshoot":485,"PastCeiling":9,"Last":{"Offered":762,"Served":710,"Refused":52,"Failed":0,"WorthOffered":1905,"WorthServed":1094},"P50":119103,"P99":1610751,"Events":61030,"Latency":4785}`,
		"two-choices": `{"Offered":6848,"Served":4402,"InAim":3597,"Refused":1360,"Failed":1086,"WorthOffered":17489,"WorthServed":9243,"Tries":12757,"Attempts":29094,"Cold":16937,"Draining":0,"Doubled":0,"Falls":12,"Calls":0,"CallsLost":0,"Units":12757,"UnitsOver":1745,"WorthOver":4634,"Overshoot":532,"PastCeiling":9,"Last":{"Offered":762,"Served":532,"Refused":183,"Failed":47,"WorthOffered":1905,"WorthServed":492},"P50":123007,"P99":1463295,"Events":96152,"Latency":4402}`,
		"blind":       `{"Offered":6848,"Served":4128,"InAim":3330,"Refused":2386,"Failed":334,"WorthOffered":17489,"WorthServed":8381,"Tries":15075,"Attempts":49623,"Cold":28758,"Draining":0,"Doubled":81,"Falls":12,"Calls":0,"CallsLost":0,"Units":15075,"UnitsOver":2481,"WorthOver":6552,"Overshoot":750,"PastCeiling":10,"Last":{"Offered":762,"Served":531,"Refused":192,"Failed":39,"WorthOffered":1905,"WorthServed":563},"P50":124543,"P99":1539071,"Events":142527,"Latency":4128}`,
		"limit":       `{"Offered":6848,"Served":4248,"InAim":3338,"Refused":1864,"Failed":736,"WorthOffered":17489,"WorthServed":8549,"Tries":5648,"Attempts":5648,"Cold":2376,"Draining":0,"Doubled":0,"Falls":0,"Calls":0,"CallsLost":0,"Units":5648,"UnitsOver":317,"WorthOver":720,"Overshoot":3,"PastCeiling":2,"Last":{"Offered":762,"Served":746,"Refused":15,"Failed":1,"WorthOffered":1905,"WorthServed":1034},"P50":100991,"P99":1790975,"Events":49284,"Latency":4248}`,
	}
	for _, policy := range Policies {
		c := smallConfig()
		c.Policy, c.RateLimit, c.CounterLoss, c.Duration = policy, 700, 0.05, 9*time.Second
		c.Counter = Counter{Rate: 300, MaxWait: 30 * time.Millisecond, Timeout: 120 * time.Millisecond}
		c.Faults = []Fault{{Kind: Deploy, At: 2 * time.Second, Duration: time.Second, Magnitude: 6}, {Kind: GatewayRestart, At: 3 * time.Second, Duration: 500 * time.Millisecond, Magnitude: 2},
			{Kind: ZoneLoss, At: 5 * time.Second, Duration: time.Second, Zone: 1}, {Kind: ZoneSlow, At: 6 * time.Second, Duration: 2 * time.Second, Magnitude: 6},
			{Kind: Flood, At: 4 * time.Second, Duration: 3 * time.Second, Magnitude: 3, Share: 0.5}, {Kind: RetryStorm, At: 7 * time.Second, Duration: time.Second, Magnitude: 2}}
		r := runRegion(t, c, 3)
		got, err := json.Marshal(struct {
			Counts
			Last                      Second
			P50, P99, Events, Latency int64
		}{r.Counts, r.Seconds[8], r.Latency.ValueAtQuantile(50), r.Latency.ValueAtQuantile(99), int64(r.Events), r.Latency.TotalCount()})
		if err != nil || string(got) != want[policy] {
			t.Errorf("%s: error %v, got\n%s, want\n%s", policy, err, got, want[policy])
		}
	}
}
