#include "stand_ins/control/fault_rules.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

FaultRule Rule(const std::string& path, double probability, int count) {
  FaultRule rule;
  rule.path = path;
  rule.probability = probability;
  rule.count = count;
  return rule;
}

int Hits(FaultRules& rules, const std::string& path, int draws) {
  int hits = 0;
  for (int index = 0; index < draws; ++index) {
    hits += rules.Draw(path).has_value() ? 1 : 0;
  }
  return hits;
}

}  // namespace

Test(fault_rules, counted_rule_hits_just_the_next_requests_of_its_path) {
  FaultRules rules;
  rules.Replace({Rule("/v1/start", 1.0, 2)}, 1);
  cr_expect_eq(Hits(rules, "/v1/prepare", 5), 0);
  cr_expect_eq(Hits(rules, "/v1/start", 5), 2);
}

Test(fault_rules, same_seed_draws_the_same) {
  FaultRules first;
  FaultRules second;
  first.Replace({Rule("/", 0.5, 0)}, 42);
  second.Replace({Rule("/", 0.5, 0)}, 42);
  int hits = 0;
  for (int index = 0; index < 100; ++index) {
    const bool hit = first.Draw("/v1/call").has_value();
    cr_assert_eq(hit, second.Draw("/v1/call").has_value());
    hits += hit ? 1 : 0;
  }
  cr_expect(hits > 0 && hits < 100);
}

Test(fault_rules, replaced_rules_end_waits) {
  FaultRules rules;
  rules.Replace({Rule("/", 1.0, 0)}, 1);
  rules.Replace({}, 1);
  cr_expect_eq(Hits(rules, "/v1/call", 10), 0);
}

}  // namespace papayalift
