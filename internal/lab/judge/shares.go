package judge

import "fmt"

// QuotaChecker holds what runs for tenants to their quotas, at each begin: at no moment may more run for a tenant than its quota,
// but for urgent reqs that draw on a reserve, which all tenants share. It counts begins and ends as the far side has
// them, and knows nothing of leases. A quota that was lowered holds for begins once Grace has passed; what runs on is no
// breach. Times are milliseconds.
type QuotaChecker struct {
	LoweringGrace float64
	Reserve       int // urgent reqs that may run beyond their tenants' quotas, of all tenants

	teams    map[string]*team
	breaches []Violation
	count    int
	n        int
}

type team struct {
	running, urgent int
	quotas          []quotaFrom // the newest last
}

type quotaFrom struct {
	at    float64
	units int
}

func (s *QuotaChecker) team(name string) *team {
	if s.teams == nil {
		s.teams = map[string]*team{}
	}
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t
}

// SetQuota sets a tenant's quota from a time on. One that is never told has none, and is not limited.
func (s *QuotaChecker) SetQuota(at float64, name string, units int) {
	t := s.team(name)
	t.quotas = append(t.quotas, quotaFrom{at, units})
}

// most is the largest quota in force in the grace before a time.
func (s *QuotaChecker) most(at float64, t *team) int {
	most := 0
	for i := len(t.quotas) - 1; i >= 0; i-- {
		if most = max(most, t.quotas[i].units); t.quotas[i].at <= at-s.LoweringGrace {
			break
		}
	}
	return most
}

// HandleStart takes a begin.
func (s *QuotaChecker) HandleStart(at float64, name string, urgent bool) {
	s.n++
	t := s.team(name)
	t.running++
	if urgent {
		t.urgent++
	}
	if len(t.quotas) == 0 {
		return
	}
	most := s.most(at, t)
	if !urgent && t.running-t.urgent > most {
		s.breach(at, fmt.Sprintf("%d of %s run beside %d urgent ones, its quota is %d", t.running-t.urgent, name, t.urgent, most))
	}
	if t.running <= most {
		return
	}
	beyond := 0
	for _, o := range s.teams {
		if len(o.quotas) > 0 && o.urgent > 0 {
			beyond += min(o.urgent, max(o.running-s.most(at, o), 0))
		}
	}
	if beyond > s.Reserve {
		s.breach(at, fmt.Sprintf("%d urgent reqs run beyond their tenants' quotas, the reserve is %d", beyond, s.Reserve))
	}
}

// HandleEnd takes an end.
func (s *QuotaChecker) HandleEnd(name string, urgent bool) {
	t := s.team(name)
	t.running--
	if urgent {
		t.urgent--
	}
}

func (s *QuotaChecker) breach(at float64, says string) {
	if s.count++; len(s.breaches) < 100 {
		s.breaches = append(s.breaches, Violation{Rule: "quota", At: at, Event: s.n, Message: says})
	}
}

// Violations are the first hundred; Count is of all.
func (s *QuotaChecker) Violations() []Violation { return s.breaches }

// Count is how many begins broke a rule.
func (s *QuotaChecker) Count() int { return s.count }
