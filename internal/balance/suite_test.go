package balance_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func Test(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Balance")
}

// readCases reads the cases of a scripted test. It panics on errors, as cases are read
// before the suite runs.
func readCases[T any](path string) []T {
	data, err := os.ReadFile(path)
	if err != nil {
		panic(err)
	}
	var cases []T
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	return cases
}
