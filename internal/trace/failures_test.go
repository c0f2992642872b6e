package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/sequoiarack/sequoiarack/internal/trace"
)

// Guards against reports in which traffic that fills a host's link is missing beside the calls that waited for it.
func TestFailureCounts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			counter := trace.NewFailureCounter(time.Second)
			want := ""
			for _, f := range archive.Files {
				if f.Name == "counts" {
					want = string(f.Data)
				} else if err := counter.Read(strings.NewReader(string(f.Data))); err != nil {
					t.Fatal(err)
				}
			}
			var got strings.Builder
			if err := trace.WriteFailureCounts(&got, counter.List()); err != nil {
				t.Fatal(err)
			}
			if os.Getenv("SEQUOIARACK_UPDATE") == "" && got.String() != want {
				t.Errorf("got\n%s\nwant\n%s", got.String(), want)
			}
			if os.Getenv("SEQUOIARACK_UPDATE") != "" {
				archive.Files[len(archive.Files)-1].Data = []byte(got.String())
				if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}
