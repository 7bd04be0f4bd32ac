package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"pumicecroft/internal/endpointcache"
	"pumicecroft/internal/snapshotfile"
	"pumicecroft/recovery"
)

type stateCommand struct {
	Dir  string `arg:"" name:"dir" help:"The gateway's state directory (state_dir)."`
	File string `name:"file" placeholder:"FILE" help:"An operator's file: print what its gateway would restore from the saved state."`
}

// membersSuffix is the suffix of files that cache the backends of a source.
const membersSuffix = ".members"

// Run prints each snapshot and each cache of backends in the state directory, and what a gateway would
// restore from them. With --file it prints only the snapshot of that file's gateway.
func (c *stateCommand) Run(out io.Writer) error {
	snapshots, err := snapshotfile.List(c.Dir)
	if err != nil {
		return err
	}
	caches, err := filepath.Glob(filepath.Join(c.Dir, "*"+membersSuffix))
	if err != nil {
		return err
	}
	var gateway *recovery.GatewayInfo
	if c.File != "" {
		if gateway, err = readGatewayInfo(c.File); err != nil {
			return err
		}
		if snapshots[gateway.Index] == "" {
			snapshots[gateway.Index] = snapshotfile.Path(c.Dir, gateway.Index)
		}
	}
	now := time.Now()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tOF\tAGE\tHOLDS\tWHAT BECOMES OF IT")
	for _, index := range slices.Sorted(maps.Keys(snapshots)) {
		if gateway == nil || index == gateway.Index {
			printSnapshot(w, snapshots[index], index, gateway, now)
		}
	}
	for _, path := range caches {
		printCache(w, c.Dir, path, now)
	}
	if len(snapshots)+len(caches) == 0 {
		fmt.Fprintf(w, "-\t-\t-\tnothing\t%s\n", recovery.RestoreWithoutSnapshot(nil).Explanation)
	}
	return w.Flush()
}

// readGatewayInfo returns the properties of an operator's gateway that its snapshots must match.
func readGatewayInfo(file string) (*recovery.GatewayInfo, error) {
	f, err := fileArg{file}.read()
	if err != nil {
		return nil, err
	}
	settings := f.Gateway.Settings
	return &recovery.GatewayInfo{
		Index:          settings.GatewayIndex,
		Count:          settings.GatewayCount,
		SettingsDigest: recovery.SettingsDigest(settings),
		Plans:          settings.Plans,
	}, nil
}

// printCache prints the age and size of the cached backends of a source.
func printCache(w io.Writer, dir, path string, now time.Time) {
	source, err := url.PathUnescape(strings.TrimSuffix(filepath.Base(path), membersSuffix))
	if err != nil {
		source = filepath.Base(path)
	}
	nodes, at, err := endpointcache.Read(dir, source)
	if err != nil {
		fmt.Fprintf(w, "members\t%s\t-\t-\tnot believed: %v\n", source, err)
		return
	}
	fmt.Fprintf(w, "members\t%s\t%v\t%d nodes\tbelieved until the source is heard; who has come since counts as cold\n",
		source, now.Sub(at).Round(time.Second), len(nodes))
}

// printSnapshot prints a snapshot and what the given gateway would restore from it. If gateway is nil,
// the properties of the gateway that wrote the snapshot are used, and the counts of restored customers
// are not printed, as they depend on the plans, which the snapshot does not have.
func printSnapshot(w io.Writer, path string, index int, gateway *recovery.GatewayInfo, now time.Time) {
	snapshot, err := readSnapshot(path)
	if err != nil {
		printRestored(w, index, nil, recovery.RestoreWithoutSnapshot(err), gateway, now)
		return
	}
	info := recovery.GatewayInfo{Index: snapshot.GatewayIndex, Count: snapshot.GatewayCount,
		SettingsDigest: snapshot.SettingsDigest}
	if gateway != nil {
		info = *gateway
	}
	printRestored(w, index, snapshot, recovery.Restore(snapshot, info, now), gateway, now)
}

func readSnapshot(path string) (*recovery.Snapshot, error) {
	data, err := snapshotfile.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errors.New("nothing was kept")
	}
	if err != nil {
		return nil, err
	}
	return recovery.Decode(data)
}

// printRestored prints one line about a snapshot and what is restored from it. snapshot is nil if it
// can't be read.
func printRestored(w io.Writer, index int, snapshot *recovery.Snapshot, restored recovery.Restored,
	gateway *recovery.GatewayInfo, now time.Time) {
	age, holds, becomes := "-", "-", restored.Explanation
	if snapshot != nil {
		age = now.Sub(snapshot.TakenAt).Round(time.Millisecond).String()
		holds = fmt.Sprintf("%d customers that owe", len(snapshot.Customers))
	}
	if restored.Err != nil {
		becomes = fmt.Sprintf("not believed: %v; %s", restored.Err, restored.Explanation)
	} else if gateway != nil {
		becomes = fmt.Sprintf("%d go on owing, %d owe nothing by now; %s", len(restored.Customers), restored.Repaid,
			restored.Explanation)
	}
	fmt.Fprintf(w, "decisions\tdoor %d\t%s\t%s\t%s\n", index, age, holds, becomes)
}
