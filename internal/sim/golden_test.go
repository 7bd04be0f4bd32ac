package sim

import "testing"

// TestTracesOfSeeds guards against unintended changes of behavior: the traces and results of some seeds
// are fixed. A change that is meant to alter behavior, or the text of trace lines, updates the expected
// values and gives the reason in its commit message.
func TestTracesOfSeeds(t *testing.T) {
	for _, want := range []struct {
		seed, hash                                      uint64
		steps, served, rejected, failed, lost, attempts int
	}{
		{0, 0x2e4efa4449b68c44, 10859, 208, 344, 0, 2, 725},
		{1, 0xeeeeb2c40f625ef1, 8314, 188, 4, 10, 0, 211},
		{2, 0xa6b99a7e077d600e, 7666, 82, 57, 0, 4, 149},
		{3, 0x1849682308785014, 7963, 50, 93, 0, 0, 265},
		{5, 0xd114f62c86d226e7, 8748, 147, 63, 0, 0, 226},
		{8, 0xa93365ddc69e270a, 8504, 175, 146, 1, 0, 235},
		{13, 0x58fc03d014cbd316, 9194, 99, 57, 3, 8, 222},
		{21, 0xef6317280ffa1347, 9916, 315, 34, 1, 4, 327},
		{34, 0xf2d3656fdb7ecb58, 8878, 170, 35, 2, 0, 179},
		{55, 0xdd231864af2cd9d2, 6669, 16, 126, 3, 0, 64},
		{89, 0x77c370d57ba7b1c0, 6398, 5, 1, 0, 5, 11},
		{144, 0x36e335ef9a63720c, 18049, 555, 1890, 7, 8, 564},
	} {
		got := Run(want.seed, Options{})
		if got.Hash != want.hash || got.Steps != want.steps || got.Served != want.served ||
			got.Rejected != want.rejected || got.Failed != want.failed ||
			got.LostWithGateway != want.lost || got.AttemptsStarted != want.attempts {
			t.Errorf("got {%d, %#x, %d, %d, %d, %d, %d, %d}, want %+v", got.Seed, got.Hash, got.Steps,
				got.Served, got.Rejected, got.Failed, got.LostWithGateway, got.AttemptsStarted, want)
		}
	}
}
