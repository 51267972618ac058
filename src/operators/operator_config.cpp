#include "operators/operator_config.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>
#include <set>

#include "deps/path_template.h"
#include "membership_udp/codec.h"
#include "operator_schema.h"

namespace granitegap::operators {
namespace {

using typed_config::Value;

std::optional<deps::EndpointSpec> endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  auto host = text.substr(0, colon);
  const bool brackets = host.front() == '[' && host.back() == ']';
  if (brackets) host = host.substr(1, host.size() - 2);
  if (!brackets && host.find(':') != std::string::npos) return std::nullopt;
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  boost::system::error_code bad;
  boost::asio::ip::make_address(host, bad);
  if (bad || error != std::errc{} || at != end || port == 0) return std::nullopt;
  return deps::EndpointSpec{host, port};
}

class Reader {
 public:
  Reader(const std::string& file, Errors& errors) : file_(file), errors_(errors) {}

  void read(const Value& top, OperatorConfig& to) {
    const auto& dependencies = top["dependencies"].as_list();
    for (std::size_t i = 0; i < dependencies.size(); ++i)
      to.spec.dependencies.push_back(dependency(dependencies[i], "dependencies[" + std::to_string(i) + "]"));
    const auto& gathers = top["gathers"].as_list();
    for (std::size_t i = 0; i < gathers.size(); ++i) {
      const auto path = "gathers[" + std::to_string(i) + "]";
      const auto& cls = gathers[i]["class"];
      const auto same = [&](const auto& c) { return c.first == cls.as_string(); };
      if (std::any_of(to.gather_classes.begin(), to.gather_classes.end(), same))
        fail(cls, path + ".class",
             "class " + cls.as_string() + " has gathers twice; expected one for each class");
      to.gather_classes.emplace_back(cls.as_string(), cls.position);
      to.spec.gathers.push_back(gather(gathers[i], path, to.spec));
    }
    to.spec.cache_bytes = top["cache"].as_byte_size();
    to.spec.remember_failures = top["remember_failures"].as_duration();
    to.dependency_connections = std::size_t(top["connections"].as_int());
    if (const auto* m = top.find("membership")) to.membership = membership(*m);
    to.cache_fill_port = std::uint16_t(top["fill_port"].as_int());
    for (std::size_t i = 0; i < dependencies.size(); ++i)
      if (to.spec.dependencies[i].fleet_fill && !to.membership)
        fail(dependencies[i]["fleet_fill"], "dependencies[" + std::to_string(i) + "].fleet_fill",
             "expected membership beside it: without it there is nobody to fill it for");
    for (std::size_t i = 0; i < dependencies.size(); ++i)
      if (to.spec.dependencies[i].fleet_open > 0 && !to.membership)
        fail(dependencies[i]["fleet_open"], "dependencies[" + std::to_string(i) + "].fleet_open",
             "expected membership beside it: without it nobody knows how many share it");
    if (const auto* r = top.find("recovery")) {
      const auto* folder = r->find("folder");
      to.recovery = OperatorConfig::Recovery{(*r)["after_lost_memory"].as_string() == "wait_out",
                                             folder ? folder->as_string() : std::string(),
                                             (*r)["clock_back_most"].as_duration(),
                                             (*r)["snapshot_every"].as_duration(),
                                             (*r)["guided"].as_bool(),
                                             (*r)["first"].as_double(),
                                             (*r)["growth"].as_double(),
                                             (*r)["wait_bound"].as_double(),
                                             (*r)["learn_most"].as_duration(),
                                             std::uint16_t((*r)["donate_port"].as_int()),
                                             (*r)["pause_most"].as_duration(),
                                             (*r)["calm_for"].as_duration()};
    }
  }

 private:
  void fail(const Value& where, const std::string& field, std::string what) {
    errors_.push_back({file_, where.position, field, std::move(what)});
  }
  template <class T>
  void in_order(const Value& v, const char* least, const char* most, T low, T high, const std::string& path) {
    if (low > high) fail(v, path + "." + least, std::string("expected no more than ") + most);
  }

  deps::DependencySpec dependency(const Value& v, const std::string& path) {
    deps::DependencySpec d;
    d.name = v["name"].as_string();
    if (!std::all_of(d.name.begin(), d.name.end(),
                     [](char c) { return c > ' ' && c < 127 && c != '/' && c != '@'; }))
      fail(v["name"], path + ".name", "expected a host's name, as it stands in Host");
    if (!names_.insert(d.name).second) fail(v["name"], path + ".name", "a second dependency of this name");
    const auto& endpoints = v["endpoints"].as_list();
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const auto here = path + ".endpoints[" + std::to_string(i) + "]";
      const auto e = endpoint(endpoints[i].as_string());
      if (!e)
        fail(endpoints[i], here, "expected a numeric address and a port, as \"127.0.0.1:9001\"");
      else if (std::find(d.endpoints.begin(), d.endpoints.end(), *e) != d.endpoints.end())
        fail(endpoints[i], here, "the same endpoint twice");
      else
        d.endpoints.push_back(*e);
    }
    const auto whole = [&](const char* name) { return std::uint32_t(v[name].as_int()); };
    d.min_timeout = v["timeout_least"].as_duration();
    d.max_timeout = v["timeout_most"].as_duration();
    d.timeout_factor = v["timeout_factor"].as_double();
    d.max_tries = whole("most_tries");
    d.retry_share = v["retry_share"].as_double();
    d.retry_burst = v["retry_burst"].as_double();
    d.retry_pause = v["retry_pause"].as_duration();
    d.max_retry_pause = v["retry_pause_most"].as_duration();
    d.hedge_after = v["hedge_after"].as_double();
    d.min_open = whole("least_open");
    d.max_open = whole("most_open");
    d.fleet_open = whole("fleet_open");
    d.fleet_fill = v["fleet_fill"].as_bool();
    d.max_waiting = whole("most_waiting");
    d.max_ejected = v["most_ejected"].as_double();
    d.eject_for = v["eject_for"].as_duration();
    d.max_eject = v["eject_most"].as_duration();
    d.slow_start = v["slow_start"].as_duration();
    d.probe_every = v["probe_every"].as_duration();
    d.max_probe = v["probe_most"].as_duration();
    d.max_answer = v["most_answer"].as_byte_size();
    d.max_header = v["most_header"].as_byte_size();
    d.max_quiet = v["quiet_most"].as_duration();
    d.max_idle_time = v["idle_most"].as_duration();
    d.max_idle_connections = whole("most_idle");
    in_order(v, "timeout_least", "timeout_most", d.min_timeout, d.max_timeout, path);
    in_order(v, "retry_pause", "retry_pause_most", d.retry_pause, d.max_retry_pause, path);
    in_order(v, "least_open", "most_open", d.min_open, d.max_open, path);
    in_order(v, "eject_for", "eject_most", d.eject_for, d.max_eject, path);
    in_order(v, "probe_every", "probe_most", d.probe_every, d.max_probe, path);
    return d;
  }

  deps::GatherSpec gather(const Value& v, const std::string& path, const deps::Spec& spec) {
    deps::GatherSpec g;
    g.budget = v["budget"].as_duration();
    const auto& parts = v["parts"].as_list();
    for (std::size_t i = 0; i < parts.size(); ++i)
      g.parts.push_back(part(parts[i], path + ".parts[" + std::to_string(i) + "]", spec, g.parts));
    return g;
  }

  deps::PartSpec part(const Value& v, const std::string& path, const deps::Spec& spec,
                      const std::vector<deps::PartSpec>& earlier) {
    deps::PartSpec p;
    p.name = v["name"].as_string();
    if (p.name.find_first_of(", =\r\n") != std::string::npos)
      fail(v["name"], path + ".name", "expected a name without commas and spaces");
    if (std::any_of(earlier.begin(), earlier.end(), [&](auto& e) { return e.name == p.name; }))
      fail(v["name"], path + ".name", "a second part of this name");
    const auto& from = v["from"];
    const auto d = std::find_if(spec.dependencies.begin(), spec.dependencies.end(),
                                [&](auto& known) { return known.name == from.as_string(); });
    if (d == spec.dependencies.end())
      fail(from, path + ".from",
           "no dependency " + from.as_string() + "; expected one of " + known_names(spec));
    else
      p.dependency = std::size_t(d - spec.dependencies.begin());
    p.path = v["path"].as_string();
    const auto parsed = deps::PathTemplate::parse(p.path);
    const auto* needs = v.find("needs");
    if (const auto* bad = std::get_if<deps::PathTemplate::Bad>(&parsed))
      fail(v["path"], path + ".path", bad->why + ", at character " + std::to_string(bad->at + 1));
    else if (!needs && std::get<deps::PathTemplate>(parsed).uses_needed())
      fail(v["path"], path + ".path", "{needed} without needs: expected the name of an earlier part there");
    if (needs) {
      const auto e =
          std::find_if(earlier.begin(), earlier.end(), [&](auto& k) { return k.name == needs->as_string(); });
      if (e == earlier.end())
        fail(*needs, path + ".needs", "expected the name of an earlier part of this gather");
      else
        p.needs = std::size_t(e - earlier.begin());
    }
    p.required = v["required"].as_bool();
    p.within = v["within"].as_duration();
    p.fresh_for = v["fresh_for"].as_duration();
    p.stale_for = v["stale_for"].as_duration();
    if (const auto* fallback = v.find("default")) p.fallback = fallback->as_string();
    return p;
  }

  membership_udp::Settings membership(const Value& v) {
    membership_udp::Settings m;
    const std::string path = "membership";
    const auto plain = [](const std::string& s) {
      return std::all_of(s.begin(), s.end(), [](char c) { return c > ' ' && c < 127; });
    };
    const auto read = [&](const Value& from, const std::string& here) {
      const auto a = parse_address(from.as_string());
      if (!a) fail(from, here, "expected a numeric address and a port, as \"127.0.0.1:9101\"");
      return a.value_or(membership::Address{});
    };
    m.cluster = v["cluster"].as_string();
    m.zone = v["zone"].as_string();
    if (!plain(m.cluster)) fail(v["cluster"], path + ".cluster", "expected a name without spaces");
    if (!plain(m.zone)) fail(v["zone"], path + ".zone", "expected a name without spaces");
    m.bind = read(v["bind"], path + ".bind");
    const auto* advertise = v.find("advertise");
    m.advertise = advertise ? read(*advertise, path + ".advertise") : m.bind;
    if (!advertise && m.bind && std::all_of(m.bind.ip.begin(), m.bind.ip.end(), [](auto b) { return !b; }))
      fail(v["bind"], path + ".bind", "others can't reach this address: expected advertise beside it");
    if (m.bind && m.advertise && m.bind.v6 != m.advertise.v6)
      fail(*advertise, path + ".advertise", "expected the same family of addresses as bind");
    if (const auto* second = v.find("second")) {
      const auto here = path + ".second";
      m.secondary_bind = read((*second)["bind"], here + ".bind");
      const auto* told = second->find("advertise");
      m.secondary_advertise = told ? read(*told, here + ".advertise") : m.secondary_bind;
      if (m.secondary_bind && m.secondary_bind == m.bind)
        fail((*second)["bind"], here + ".bind", "expected another address than membership.bind");
      if (m.secondary_bind && m.secondary_advertise && m.secondary_bind.v6 != m.secondary_advertise.v6)
        fail(*told, here + ".advertise", "expected the same family of addresses as bind");
    }
    const auto& seeds = v["seeds"].as_list();
    for (std::size_t i = 0; i < seeds.size(); ++i) {
      const auto here = path + ".seeds[" + std::to_string(i) + "]";
      const auto seed = read(seeds[i], here);
      if (seed && m.bind && seed.v6 != m.bind.v6)
        fail(seeds[i], here, "expected the same family of addresses as bind");
      m.options.seeds.push_back(seed);
    }
    auto& o = m.options;
    o.period = v["period"].as_duration();
    o.min_probe_timeout = v["late_least"].as_duration();
    o.indirect_probes = unsigned(v["indirect"].as_int());
    o.suspicion_multiplier = v["suspicion"].as_double();
    o.max_suspicion_multiplier = v["suspicion_most"].as_double();
    o.confirmations = unsigned(v["confirmations"].as_int());
    o.retransmit_multiplier = unsigned(v["spread"].as_int());
    o.mass_failure_fraction = v["mass_share"].as_double();
    o.quorum_shrink_delay = v["shrink_after"].as_duration();
    o.tombstone_ttl = v["forget_after"].as_duration();
    o.max_message_age = v["believe_for"].as_duration();
    o.min_fleet_size = std::size_t(v["expected"].as_int());
    o.max_members = std::size_t(v["members_most"].as_int());
    // Guards against a late word that raises one of whom nobody knows any more that it is dead.
    if (2 * o.max_message_age > o.tombstone_ttl)
      fail(v["believe_for"], path + ".believe_for", "expected no more than half of forget_after");
    return m;
  }

  static std::string known_names(const deps::Spec& spec) {
    std::string names;
    for (const auto& d : spec.dependencies) names += (names.empty() ? "" : ", ") + d.name;
    return names.empty() ? "none, as none is declared" : names;
  }

  const std::string& file_;
  Errors& errors_;
  std::set<std::string> names_;
};

}  // namespace

const typed_config::Document& schema() {
  static const auto document =
      std::get<typed_config::Document>(typed_config::parse(kOperatorSchema, "operator.schema.cue"));
  return document;
}

std::optional<membership::Address> parse_address(const std::string& text) {
  const auto e = endpoint(text);
  if (!e) return std::nullopt;
  return membership_udp::address_of(boost::asio::ip::make_address(e->host), e->port);
}

std::variant<OperatorConfig, Errors> from_document(const typed_config::Document& document) {
  auto checked = typed_config::validate(document, schema(), "#Operator");
  if (auto* errors = std::get_if<Errors>(&checked)) return std::move(*errors);
  OperatorConfig declared;
  declared.file = document.file;
  declared.values = std::get<Value>(std::move(checked));
  Errors errors;
  Reader(document.file, errors).read(declared.values, declared);
  if (!errors.empty()) return errors;
  return declared;
}

std::variant<OperatorConfig, Errors> load(const std::string& path) {
  const auto document = typed_config::load(path);
  if (const auto* error = std::get_if<typed_config::Error>(&document)) return Errors{*error};
  return from_document(std::get<typed_config::Document>(document));
}

Errors resolve_classes(OperatorConfig& declared, const edge::NameRegistry& catalog) {
  Errors errors;
  for (std::size_t i = 0; i < declared.gather_classes.size(); ++i) {
    const auto& [name, at] = declared.gather_classes[i];
    const auto cls = catalog.find_class(name);
    if (cls)
      declared.spec.gathers[i].cls = *cls;
    else
      errors.push_back({declared.file, at, "gathers[" + std::to_string(i) + "].class",
                        "the platform's settings have no class " + name});
  }
  return errors;
}

}  // namespace granitegap::operators
