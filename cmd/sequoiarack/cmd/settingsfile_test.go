package cmd

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against hosts that keep the seeds with which they started, as their settings file changes without
// a signal.
func TestSettingsFileChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string, at time.Time) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	write("{}", start)
	file := newSettingsFile(path)
	if file.changed() {
		t.Error("an unchanged file counts as changed")
	}
	write("[]", start.Add(time.Minute))
	if !file.changed() || file.changed() {
		t.Error("a file with another time must count as changed once")
	}
	write("{} ", start.Add(time.Minute))
	if !file.changed() {
		t.Error("a file of another size must count as changed")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if file.changed() {
		t.Error("a missing file must count as unchanged")
	}
	write("{} ", start.Add(time.Minute))
	file.changed() // it may be a new file
	if file.changed() {
		t.Error("a file that is back must count as changed once at most")
	}
}
