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
	Dir  string `arg:"" name:"dir" help:"A door's directory for state (state_dir)."`
	File string `name:"file" placeholder:"FILE" help:"An operator's file: say what the door that serves by it would make of what is kept."`
}

// Run prints what a door would begin with.
func (c *stateCommand) Run(out io.Writer) error {
	found, err := snapshotfile.List(c.Dir)
	if err != nil {
		return err
	}
	lists, err := filepath.Glob(filepath.Join(c.Dir, "*.members"))
	if err != nil {
		return err
	}
	var door *recovery.GatewayInfo
	if c.File != "" {
		f, err := fileArg{c.File}.read()
		if err != nil {
			return err
		}
		set := f.Gateway.Settings
		door = &recovery.GatewayInfo{Index: set.GatewayIndex, Count: set.GatewayCount, SettingsDigest: recovery.SettingsDigest(set), Plans: set.Plans}
		if found[door.Index] == "" {
			found[door.Index] = snapshotfile.Path(c.Dir, door.Index)
		}
	}
	now := time.Now()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tOF\tAGE\tHOLDS\tWHAT BECOMES OF IT")
	for _, n := range slices.Sorted(maps.Keys(found)) {
		if door == nil || n == door.Index {
			printSnapshot(w, found[n], n, door, now)
		}
	}
	for _, path := range lists {
		source, err := url.PathUnescape(strings.TrimSuffix(filepath.Base(path), ".members"))
		if err != nil {
			source = filepath.Base(path)
		}
		nodes, at, err := endpointcache.Read(c.Dir, source)
		if err != nil {
			fmt.Fprintf(w, "members\t%s\t-\t-\tnot believed: %v\n", source, err)
			continue
		}
		fmt.Fprintf(w, "members\t%s\t%v\t%d nodes\tbelieved until the source is heard; who has come since counts as cold\n", source, now.Sub(at).Round(time.Second), len(nodes))
	}
	if len(found)+len(lists) == 0 {
		fmt.Fprintf(w, "-\t-\t-\tnothing\t%s\n", recovery.RestoreNothing(nil).Explanation)
	}
	return w.Flush()
}

// printSnapshot tells of one snapshot, to the door that would begin with it if one is named.
func printSnapshot(w io.Writer, path string, number int, door *recovery.GatewayInfo, now time.Time) {
	tell := func(s *recovery.Snapshot, b recovery.Restored) {
		age, holds, becomes := "-", "-", b.Explanation
		if s != nil {
			age, holds = now.Sub(s.TakenAt).Round(time.Millisecond).String(), fmt.Sprintf("%d customers that owe", len(s.Customers))
		}
		if b.Err != nil {
			becomes = fmt.Sprintf("not believed: %v; %s", b.Err, b.Explanation)
		} else if door != nil {
			becomes = fmt.Sprintf("%d go on owing, %d owe nothing by now; %s", len(b.Customers), b.Repaid, b.Explanation)
		}
		fmt.Fprintf(w, "decisions\tdoor %d\t%s\t%s\t%s\n", number, age, holds, becomes)
	}
	text, err := snapshotfile.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		tell(nil, recovery.RestoreNothing(errors.New("nothing was kept")))
		return
	}
	if err != nil {
		tell(nil, recovery.RestoreNothing(err))
		return
	}
	s, err := recovery.Decode(text)
	switch {
	case err != nil:
		tell(nil, recovery.RestoreNothing(err))
	case door != nil:
		tell(s, recovery.Restore(s, *door, now))
	default:
		tell(s, recovery.Restore(s, recovery.GatewayInfo{Index: s.GatewayIndex, Count: s.GatewayCount, SettingsDigest: s.SettingsDigest}, now))
	}
}
