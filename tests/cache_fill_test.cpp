// One member fills a key for all: who it is, and several gatherers that ask each other under one virtual
// clock while members die, stand still and differ in their views.
#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <random>

#include "standin/dependency_simulation.h"

namespace granitegap::deps {
namespace {

using membership::BootId;
using membership::Status;
using membership::View;
using namespace std::chrono_literals;

View::Peer member(std::size_t n) {
  View::Peer p;
  p.name = "n" + std::to_string(n);
  p.hash = membership::name_hash(p.name);
  p.status = p.certain_status = Status::alive;
  p.metadata.version = 1;
  p.metadata.stage = membership::Stage::serving;
  p.metadata.cache_fill_port = std::uint16_t(8000 + n);
  p.address.ip = {127, 0, 0, 1};
  p.address.port = std::uint16_t(9000 + n);
  p.boot_id = BootId(100 + n);
  return p;
}
View view_for(std::size_t own, std::size_t members) {
  View v;
  v.own_hash = member(own).hash;
  v.fleet_size = members;
  for (std::size_t n = 0; n < members; ++n)
    if (n != own) v.peers.push_back(member(n));
  return v;
}

TEST(FillOwners, AllNameTheSameAndEachFillsItsShare) {
  constexpr std::size_t kMembers = 8;
  std::map<std::uint64_t, int> share;
  std::vector<KeyOwners> all(kMembers);
  for (std::size_t n = 0; n < kMembers; ++n) all[n].see(view_for(n, kMembers));
  for (int k = 0; k < 800; ++k) {
    const auto key = cache_fill_key("e", "/" + std::to_string(k));
    std::set<std::uint64_t> named;
    for (std::size_t n = 0; n < kMembers; ++n) {
      const auto o = all[n].of(key, {});
      named.insert(o ? o->hash : member(n).hash);
    }
    ASSERT_EQ(named.size(), 1u);
    ++share[*named.begin()];
  }
  for (const auto& [who, keys] : share) EXPECT_NEAR(keys, 100, 40);
  EXPECT_EQ(share.size(), kMembers);
  // One goes: only its keys move.
  auto less = view_for(0, kMembers);
  less.peers.erase(less.peers.begin() + 2);
  KeyOwners after;
  after.see(less);
  for (int k = 0; k < 800; ++k) {
    const auto key = cache_fill_key("e", "/" + std::to_string(k));
    const auto before = all[0].of(key, {});
    const auto now = after.of(key, {});
    if (!before || before->hash != member(3).hash) {
      EXPECT_EQ(before ? before->hash : 0, now ? now->hash : 0);
    }
  }
}

TEST(FillOwners, NobodyIsAskedWhereTheViewIsInDoubtNorWhoDoesNotFill) {
  const auto asked = [](const std::function<void(View&)>& change) {
    auto v = view_for(0, 3);
    change(v);
    KeyOwners o;
    o.see(v);
    int n = 0;
    for (int k = 0; k < 100; ++k) n += o.of(cache_fill_key("e", std::to_string(k)), {}).has_value();
    return n;
  };
  EXPECT_GT(asked([](View&) {}), 40);
  EXPECT_EQ(asked([](View& v) { v.has_quorum = false; }), 0);
  EXPECT_EQ(asked([](View& v) { v.uncertain = true; }), 0);
  EXPECT_EQ(asked([](View& v) { v.local_connectivity = membership::LocalConnectivity::inbound_broken; }), 0);
  EXPECT_EQ(asked([](View& v) { v.name_conflict = true; }), 0);
  EXPECT_EQ(asked([](View& v) {
              v.peers[0].metadata.cache_fill_port = 0;
              v.peers[1].status = Status::suspect;
            }),
            0);
  EXPECT_EQ(asked([](View& v) {
              v.peers[0].metadata.stage = membership::Stage::draining;
              v.peers[1].certain_status = Status::dead;
            }),
            0);
}

TEST(FillOwners, WhoDoesNotAnswerIsPassedOverForLongerEachTimeAndANewLifeIsNot) {
  auto v = view_for(0, 2);
  KeyOwners o;
  o.see(v);
  std::uint64_t key = 0;
  while (!o.of(key, {})) ++key;
  TimePoint now(1h);
  o.failed(member(1).hash, now);
  o.failed(member(1).hash, now);  // asked at the same time
  EXPECT_FALSE(o.of(key, now + 499ms));
  EXPECT_TRUE(o.of(key, now + 500ms));
  o.failed(member(1).hash, now + 500ms);
  EXPECT_FALSE(o.of(key, now + 1400ms));
  o.see(v);  // a view alone forgives nothing
  EXPECT_FALSE(o.of(key, now + 1400ms));
  EXPECT_TRUE(o.of(key, now + 1500ms));
  o.failed(member(1).hash, now + 1500ms);
  v.peers[0].boot_id = BootId(7);
  o.see(v);
  EXPECT_EQ(o.of(key, now + 1500ms)->boot_id, BootId(7));
}

TEST(CacheFillRequest, IsReadAsItWasWrittenAndNothingElseIs) {
  const CacheFillRequest q{BootId(0xfedcba9876543210), "e.example.org:80", "/e?r=a%20b/c", 10s, 150ms};
  EXPECT_EQ(read_target(target_of(q)), q);
  for (const char* bad : {"", "/", "/fill/", "/fill/1/2", "/fill/x/1/1/e/p", "/fill/1/-1/1/e/p",
                          "/fill/1/1/99999999999999999999/e/p", "/fill/1/1/1/e", "/fill/1/1/1//p",
                          "/fill/1/1/1/e/p q", "/fill/1/1/1/e/p\r\nHost: x", "/other/1/1/1/e/p"})
    EXPECT_FALSE(read_target(bad)) << bad;
  EXPECT_FALSE(read_target("/fill/1/1/1/e/" + std::string(5000, 'p')));
  EXPECT_EQ(read_filled(filled(3s, "a\nb"))->body, "a\nb");
  EXPECT_EQ(read_filled(filled(3s, ""))->age, 3s);
  for (const char* bad : {"", "5", "-5\nx", "x\nx", "99999999999999999999\nx"})
    EXPECT_FALSE(read_filled(bad)) << bad;
}

std::string path_of(std::uint64_t obj) {
  char path[32];
  std::snprintf(path, sizeof path, "/e/%016llx", static_cast<unsigned long long>(obj));
  return path;
}

// Gatherers of several members, and one dependency below them all.
class Members {
 public:
  explicit Members(std::size_t n, Spec spec) : spec_(std::make_shared<Spec>(std::move(spec))) {
    for (std::size_t k = 0; k < n; ++k) {
      all_.push_back(std::make_unique<One>(ScatterGather(spec_, k + 1)));
      all_[k]->gatherer.fleet(std::make_shared<View>(view_for(k, n)), now);
    }
  }
  static Spec spec() {
    auto s = two_dependencies();
    s.gathers[0].parts.pop_back();
    s.gathers[0].parts[0].fresh_for = 10s;
    for (auto& d : s.dependencies) d.fleet_fill = true, d.hedge_after = 0;
    return s;
  }
  TimePoint now{1000s};
  Duration answer_after = 10ms;
  bool below_is_well = true;
  std::set<std::size_t> silent;       // members that neither hear nor answer
  std::set<std::size_t> other_lives;  // that have restarted, unknown to the others
  std::size_t calls = 0, questions = 0;
  struct Got {
    PartStatus status{};
    Duration age{}, took{};
    std::string body;
  };
  std::map<std::pair<std::size_t, std::uint32_t>, Got> got;

  ScatterGather& at(std::size_t n) { return all_[n]->gatherer; }
  std::uint32_t ask(std::size_t n, std::uint64_t obj, ClassId cls = ClassId{0}) {
    const auto id = ++next_;
    began_[{n, id}] = now;
    at(n).begin(RequestId{id}, cls, {obj, "b", "route-profile"}, 400ms, true, now);
    settle(n);
    return id;
  }
  // The member that fills it.
  std::size_t owner(std::uint64_t obj) {
    KeyOwners o;
    o.see(view_for(0, all_.size()));
    const auto who = o.of(cache_fill_key("elevation.example.org", path_of(obj)), now);
    for (std::size_t n = 1; who && n < all_.size(); ++n)
      if (member(n).hash == who->hash) return n;
    return 0;
  }
  void run_for(Duration d) {
    for (const auto until = now + d;;) {
      auto next = until;
      for (auto& m : all_)
        if (const auto t = m->gatherer.next_timer()) next = std::min(next, *t);
      if (!queue_.empty()) next = std::min(next, queue_.begin()->first);
      now = std::max(now, next);
      while (!queue_.empty() && queue_.begin()->first <= now) {
        const auto work = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        work();
      }
      for (std::size_t n = 0; n < all_.size(); ++n) {
        all_[n]->gatherer.tick(now);
        settle(n);
      }
      if (now >= until) return;
    }
  }

 private:
  struct One {
    explicit One(ScatterGather g) : gatherer(std::move(g)) {}
    ScatterGather gatherer;
    std::map<std::uint32_t, std::function<void(Bytes, Duration)>> fills;
  };
  void later(Duration after, std::function<void()> work) { queue_.emplace(now + after, std::move(work)); }
  void report(std::size_t n, CallId id, CallFate fate, Bytes body) {
    at(n).ended({id, fate, 1ms, {}, std::move(body)}, now);
    settle(n);
  }
  void settle(std::size_t n) {
    const std::vector<Action> actions(at(n).actions().begin(), at(n).actions().end());
    std::vector<std::pair<std::string, KeyOwner>> texts;
    for (const auto& a : actions)
      if (const auto* s = std::get_if<StartCall>(&a))
        texts.emplace_back(*s->path, s->owner ? *s->owner : KeyOwner{});
    at(n).clear_actions();
    std::size_t text = 0;
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<StartCall>(&a)) {
        const auto& [path, owner] = texts[text++];
        if (owner.hash) {
          ++questions;
          later(1ms,
                [this, n, id = s->id, target = path, port = owner.at.port] { asked(n, id, target, port); });
          continue;
        }
        ++calls;
        later(answer_after, [this, n, id = s->id, path] {
          report(n, id, below_is_well ? CallFate::ok : CallFate::error,
                 std::make_shared<const std::string>("data of " + path));
        });
      } else if (const auto* e = std::get_if<GatherEnded>(&a)) {
        const auto id = std::uint32_t(e->id);
        const auto parts = at(n).parts(e->id);
        if (const auto fill = all_[n]->fills.find(id); fill != all_[n]->fills.end()) {
          const auto tell = std::move(fill->second);
          all_[n]->fills.erase(fill);
          const auto body = e->required_parts_present ? parts.at(0).body : nullptr;
          const auto age = parts.at(0).age;
          at(n).release(e->id);
          tell(body, age);
          continue;
        }
        got[{n, id}] = {parts.at(0).status, parts.at(0).age, now - began_[{n, id}],
                        parts.at(0).body ? *parts.at(0).body : ""};
        at(n).release(e->id);
      }
    }
  }
  void asked(std::size_t by, CallId call, const std::string& target, std::uint16_t port) {
    const auto n = std::size_t(port - 8000);
    const auto question = read_target(target);
    ASSERT_TRUE(question);
    if (silent.contains(n)) return;
    const bool mine = question->to == member(n).boot_id && !other_lives.contains(n);
    const auto id = ++next_;
    all_[n]->fills[id] = [this, by, call](const Bytes& body, Duration age) {
      later(1ms, [this, by, call, body, age] {
        report(by, call, body ? CallFate::ok : CallFate::no_data,
               body ? std::make_shared<const std::string>(filled(age, *body)) : nullptr);
      });
    };
    if (!mine || !at(n).fill(RequestId{id}, *question, now)) {
      const auto tell = std::move(all_[n]->fills[id]);
      all_[n]->fills.erase(id);
      return tell(nullptr, {});
    }
    settle(n);
  }

  std::shared_ptr<Spec> spec_;
  std::vector<std::unique_ptr<One>> all_;
  std::multimap<TimePoint, std::function<void()>> queue_;
  std::map<std::pair<std::size_t, std::uint32_t>, TimePoint> began_;
  std::uint32_t next_ = 0;
};

// All come back at once and ask for the same: one call below for each key, and the rest have it from its
// owner.
TEST(FleetCacheFill, OneCallBelowForAKeyThatAllAskFor) {
  Members m(6, Members::spec());
  for (std::uint64_t key = 0; key < 20; ++key)
    for (std::size_t n = 0; n < 6; ++n) m.ask(n, key);
  m.run_for(1s);
  EXPECT_EQ(m.calls, 20u);
  EXPECT_EQ(m.got.size(), 120u);
  for (const auto& [who, g] : m.got) {
    EXPECT_EQ(g.status, PartStatus::fresh);
    EXPECT_LE(g.took, 20ms);
    EXPECT_EQ(g.body.rfind("data of /e/", 0), 0u);
  }
}

// The control: without it each asks below.
TEST(FleetCacheFill, WithoutItEachAsksBelow) {
  auto spec = Members::spec();
  for (auto& d : spec.dependencies) d.fleet_fill = false;
  Members m(6, spec);
  for (std::size_t n = 0; n < 6; ++n) m.ask(n, 1);
  m.run_for(1s);
  EXPECT_EQ(m.calls, 6u);
  EXPECT_EQ(m.questions, 0u);
}

// What the owner has is as old as it is: told so, kept so, and not taken where that is too old.
TEST(FleetCacheFill, AnAgeIsCarriedOverAndKept) {
  Members m(4, Members::spec());
  const std::uint64_t key = 5;
  const auto owner = m.owner(key), other = (owner + 1) % 4;
  m.ask(owner, key);
  m.run_for(7s);
  const auto id = m.ask(other, key);
  m.run_for(100ms);
  EXPECT_EQ(m.calls, 1u);
  EXPECT_EQ(m.got.at({other, id}).status, PartStatus::fresh);
  EXPECT_GE(m.got.at({other, id}).age, 6900ms);
  m.run_for(3s);  // now it is too old, there and here
  const auto again = m.ask(other, key);
  m.run_for(100ms);
  EXPECT_EQ(m.calls, 2u);
  EXPECT_LE(m.got.at({other, again}).age, 20ms);
}

// The owner is gone, or stands still, and nobody knows yet: whoever asked it goes on alone within its budget,
// and others are not asked in vain again and again.
TEST(FleetCacheFill, AnOwnerThatDoesNotAnswerCostsNoAnswer) {
  Members m(4, Members::spec());
  const std::uint64_t key = 5;
  const auto owner = m.owner(key), other = (owner + 1) % 4;
  m.silent.insert(owner);
  const auto id = m.ask(other, key);
  m.run_for(1s);
  EXPECT_EQ(m.got.at({other, id}).status, PartStatus::fresh);
  EXPECT_LE(m.got.at({other, id}).took, 400ms);
  EXPECT_EQ(m.calls, 1u);
  // Its keys have another owner for a while.
  m.silent.clear();
  for (std::uint64_t k = 100; k < 140; ++k) m.ask(other, k);
  EXPECT_LT(m.questions, 41u);
  m.run_for(1s);
  for (const auto& [who, g] : m.got) EXPECT_EQ(g.status, PartStatus::fresh);
}

// A later life on the owner's port does not answer for it.
TEST(FleetCacheFill, ALaterLifeOfTheOwnerIsNotTakenForIt) {
  Members m(4, Members::spec());
  const std::uint64_t key = 5;
  const auto owner = m.owner(key), other = (owner + 1) % 4;
  m.other_lives.insert(owner);
  const auto id = m.ask(other, key);
  m.run_for(1s);
  EXPECT_EQ(m.got.at({other, id}).status, PartStatus::fresh);
  EXPECT_EQ(m.calls, 1u);
}

// The service below is down: the owner says so, everyone ends within the budget, and nobody is held.
TEST(FleetCacheFill, ADependencyThatFailsHoldsNobody) {
  Members m(4, Members::spec());
  m.below_is_well = false;
  for (std::uint64_t key = 0; key < 30; ++key)
    for (std::size_t n = 0; n < 4; ++n) m.ask(n, key);
  m.run_for(2s);
  EXPECT_EQ(m.got.size(), 120u);
  for (const auto& [who, g] : m.got) {
    EXPECT_EQ(g.status, PartStatus::absent);
    EXPECT_LE(g.took, 400ms);
  }
  for (std::size_t n = 0; n < 4; ++n) {
    EXPECT_EQ(m.at(n).open_gathers(), 0u);
    EXPECT_EQ(m.at(n).open_flights(), 0u);
  }
}

// Two whose views differ may each take the other for the owner: nobody passes a question on, so that it ends.
TEST(FleetCacheFill, ViewsThatDifferMakeNoRound) {
  Members m(2, Members::spec());
  const std::uint64_t key = 5;
  const auto owner = m.owner(key);
  // The owner's view has the two the other way round: it is told of a member whose score is higher.
  auto odd = view_for(owner, 2);
  auto third = member(1 - owner);
  for (std::uint64_t name = 1;; ++name) {
    third.hash = name;
    odd.peers = {third};
    KeyOwners o;
    o.see(odd);
    if (o.of(cache_fill_key("elevation.example.org", path_of(key)), {})) break;
  }
  m.at(owner).fleet(std::make_shared<View>(odd), m.now);
  m.ask(0, key);
  m.ask(1, key);
  m.run_for(1s);
  ASSERT_EQ(m.got.size(), 2u);
  for (const auto& [who, g] : m.got) {
    EXPECT_EQ(g.status, PartStatus::fresh);
    EXPECT_LE(g.took, 400ms);
  }
}

// Members that fall silent and come back, views that lag behind, a service that fails at times: each gather
// ends once, within its budget, with nothing older than declared, and nothing stays open.
TEST(FleetCacheFill, RandomFaultsKeepTheProperties) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Members m(5, Members::spec());
    std::mt19937_64 random(seed);
    std::size_t asked = 0;
    for (int step = 0; step < 300; ++step) {
      switch (random() % 8) {
        case 0:
          m.silent.insert(random() % 5);
          break;
        case 1:
          m.silent.clear();
          m.other_lives.clear();
          break;
        case 2:
          m.other_lives.insert(random() % 5);
          break;
        case 3:
          m.below_is_well = random() % 4 > 0;
          m.answer_after = std::chrono::milliseconds(1 + random() % 600);
          break;
        default:
          break;
      }
      // A member that neither hears nor answers is not asked by its own callers either.
      const auto n = random() % 5;
      m.ask(n, random() % 20);
      ++asked;
      m.run_for(std::chrono::milliseconds(random() % 200));
    }
    m.run_for(5s);
    ASSERT_EQ(m.got.size(), asked) << seed;
    for (const auto& [who, g] : m.got) {
      EXPECT_LE(g.took, 400ms);
      if (g.status == PartStatus::fresh) {
        EXPECT_LE(g.age, 10s);
      }
    }
    for (std::size_t n = 0; n < 5; ++n) {
      EXPECT_EQ(m.at(n).open_gathers(), 0u);
      EXPECT_EQ(m.at(n).open_flights(), 0u);
      EXPECT_EQ(m.at(n).open_calls(0), 0u);
    }
  }
}

}  // namespace
}  // namespace granitegap::deps
