package quota

import (
	"encoding/json"
	"time"

	"tinsail/internal/fleet/policy"
)

// terms is what of a policy concerns the quotas.
type terms struct {
	Quotas        map[string]int `json:"quotas"`
	UrgentReserve int            `json:"urgent_reserve"`
	RunMS         int            `json:"run_ms"`
}

func termsOf(p policy.Policy) terms {
	t, _ := readTerms(p.Append(nil))
	return t
}

func readTerms(body []byte) (t terms, err error) {
	return t, json.Unmarshal(body, &t)
}

func (t terms) run() time.Duration { return time.Duration(t.RunMS) * time.Millisecond }
