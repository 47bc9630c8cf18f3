package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSameDecisions plays random days and compares a hash over all actions with that of the code before the cost of
// decisions was cut. A change that is meant to decide otherwise changes the hashes; one that is not must leave them.
func TestSameDecisions(t *testing.T) {
	for _, c := range []struct {
		fleet, variant int
		want           uint64
	}{
		{1, 0, 0x41284a2b02792ded}, {2, 1, 0x2a6e2fa7c7bccc50}, {5, 2, 0xd532c6e3b5903868}, {15, 3, 0x6c5343d952a71efa}, {22, 0, 0xcaf62e88298dd70a}, {22, 1, 0x6b8d006f584161}, {22, 2, 0xe201d395b90c2cfd}, {22, 3, 0xe9a618a61df134f5}, {22, 4, 0x5ba4564ec754fe8c}, {22, 5, 0xc04c9d3243c1762f},
		{40, 5, 0x4cfed6cd5d4a2022}, {64, 0, 0x9c36f201709415b3}, {64, 1, 0x8239ddb7bd3fc0a9}, {64, 2, 0x858725b28c112fed}, {64, 3, 0xa4765d7c9434ea6c}, {64, 4, 0x750de612fb766023}, {64, 5, 0x32937ded518c43fa},
		{200, 0, 0x3396f099a13ffbf5}, {200, 3, 0x5cbab3093a48cc8c}, {200, 5, 0xf8dd95ab3af7a4f8}, {2000, 0, 0xd6846094a235e860}, {2000, 1, 0xd07233b7fa94a88}, {2000, 5, 0x61b8a0adc6d12b3a},
	} {
		events := 20000
		if c.fleet > 200 {
			events = 4000
		}
		day := newCourse(t, c.fleet, c.variant)
		for range events {
			day.event()
		}
		t.Logf("fleet %d, variant %d: %v, most held %d", c.fleet, c.variant, day.verbs, day.mostHeld)
		assert.Equal(t, fmt.Sprintf("%#x", c.want), fmt.Sprintf("%#x", day.sum), "fleet %d, variant %d", c.fleet, c.variant)
	}
}
