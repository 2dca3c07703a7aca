#include "sassafras/config/config_parse.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "sassafras/config/address.h"
#include "sassafras/config/yaml_reader.h"
#include "src/config/config_check.h"

namespace sassafras {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMaxAccelerators = 64;
constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxShapeWorkers = 128;
constexpr std::int64_t kMaxShare = 1'000'000;
constexpr std::int64_t kMaxCount = 100'000;
constexpr std::int64_t kMaxConnections = 65'535;
constexpr std::int64_t kMaxRestarts = 100;
constexpr std::int64_t kDefaultQueueLimit = 1'000;
constexpr std::size_t kSha256HexLength = 64;

// Reads the object lists of files into one set.
class set_parser {
 public:
  set_parser(parsed_config& parsed, unknown_keys rule)
      : parsed_(parsed), objects_(parsed.objects), rule_(rule) {}

  void ReadFile(const source_file& file) {
    file_ = file.name;
    ReadYaml(file.name, file.text, rule_, parsed_.faults,
             [this](yaml_reader& reader) { ReadTop(reader); });
  }

  const origin_table& Origins() const { return origins_; }

 private:
  using item_function = void (set_parser::*)(yaml_reader&);

  void ReadTop(yaml_reader& reader) {
    ReadObjects(reader, "places", &set_parser::ReadPlace);
    ReadObjects(reader, "links", &set_parser::ReadLink);
    ReadObjects(reader, "racks", &set_parser::ReadRack);
    ReadObjects(reader, "workers", &set_parser::ReadWorker);
    ReadObjects(reader, "shapes", &set_parser::ReadShape);
    ReadObjects(reader, "teams", &set_parser::ReadTeam);
    ReadObjects(reader, "classes", &set_parser::ReadClass);
    ReadObjects(reader, "targets", &set_parser::ReadTarget);
  }

  void ReadObjects(yaml_reader& reader,
                   const std::string& key,
                   item_function read) {
    reader.ReadList(
        key, [&](yaml_reader& item) { (this->*read)(item); }, rule_);
  }

  // Adds `item` to `map`, or a fault if its name is already defined.
  template <class Map, class Object>
  void Insert(yaml_reader& reader,
              const std::string& kind,
              Map& map,
              Object item) {
    const std::string object = kind + "/" + item.id.value;
    const auto [origin, is_new] =
        origins_.emplace(object, object_origin{file_, reader.Line()});
    if (!is_new) {
      reader.AddFault("name",
                      "'" + item.id.value + "' was already defined in " +
                          origin->second.file + ":" +
                          std::to_string(origin->second.line),
                      "a name that is used once");
      return;
    }
    map.emplace(item.id, std::move(item));
  }

  static int ReadInt(yaml_reader& reader,
                     const std::string& key,
                     std::int64_t low,
                     std::int64_t high,
                     std::optional<std::int64_t> fallback = std::nullopt) {
    return static_cast<int>(reader.ReadInteger(key, low, high, fallback));
  }

  static std::string ReadAddress(yaml_reader& reader) {
    std::string text = reader.ReadString("address");
    if (!text.empty() && !ParseAddress(text)) {
      reader.AddFault("address", "'" + text + "' is not a valid address",
                      "IP:port");
    }
    return text;
  }

  static resources ReadResources(yaml_reader& reader) {
    resources amounts;
    amounts.accelerators = ReadInt(reader, "accelerators", 0, kMaxAccelerators);
    amounts.cores = ReadInt(reader, "cores", 0, kMaxCores);
    amounts.memory_mb = reader.ReadMegabytes("memory");
    return amounts;
  }

  void ReadPlace(yaml_reader& reader) {
    place item;
    item.id.value = reader.ReadName("name");
    item.region = reader.ReadName("region");
    Insert(reader, "places", objects_.places, std::move(item));
  }

  void ReadLink(yaml_reader& reader) {
    link item;
    item.from.value = reader.ReadName("from");
    item.to.value = reader.ReadName("to");
    item.latency = reader.ReadDuration("latency", duration(0), seconds(1));
    origins_.emplace("links/" + item.from.value + "-" + item.to.value,
                     object_origin{file_, reader.Line()});
    objects_.links.push_back(std::move(item));
  }

  void ReadRack(yaml_reader& reader) {
    rack item;
    item.id.value = reader.ReadName("name");
    item.place.value = reader.ReadName("place");
    Insert(reader, "racks", objects_.racks, std::move(item));
  }

  void ReadWorker(yaml_reader& reader) {
    worker item;
    item.id.value = reader.ReadName("name");
    item.rack.value = reader.ReadName("rack");
    item.address = ReadAddress(reader);
    item.capacity = ReadResources(reader);
    item.is_leaving = reader.ReadBool("leaving", false);
    Insert(reader, "workers", objects_.workers, std::move(item));
  }

  void ReadShape(yaml_reader& reader) {
    shape item;
    item.id.value = reader.ReadName("name");
    item.level = static_cast<shape_level>(
        reader.ReadChoice("level", {"worker", "rack", "place"}));
    item.workers = ReadInt(reader, "workers", 1, kMaxShapeWorkers, 1);
    item.per_worker = ReadResources(reader);
    Insert(reader, "shapes", objects_.shapes, std::move(item));
  }

  static void ReadGuarantee(yaml_reader& reader, team& owner) {
    guarantee entry;
    entry.shape.value = reader.ReadName("shape");
    entry.count = ReadInt(reader, "count", 1, kMaxCount, 1);
    owner.guarantees.push_back(std::move(entry));
  }

  static void ReadToken(yaml_reader& reader, team& owner) {
    team_token token;
    token.role = static_cast<token_role>(
        reader.ReadChoice("role", {"caller", "operator"}));
    token.sha256 = reader.ReadString("sha256");
    if (token.sha256.size() != kSha256HexLength) {
      reader.AddFault("sha256", "is not a SHA-256 digest",
                      "64 lower-case hexadecimal digits");
    }
    owner.tokens.push_back(std::move(token));
  }

  void ReadTeam(yaml_reader& reader) {
    team item;
    item.id.value = reader.ReadName("name");
    item.share = ReadInt(reader, "share", 1, kMaxShare, 1);
    reader.ReadList(
        "guarantees", [&](yaml_reader& entry) { ReadGuarantee(entry, item); },
        rule_);
    reader.ReadList(
        "tokens", [&](yaml_reader& entry) { ReadToken(entry, item); }, rule_);
    Insert(reader, "teams", objects_.teams, std::move(item));
  }

  void ReadClass(yaml_reader& reader) {
    job_class item;
    item.id.value = reader.ReadName("name");
    item.kind =
        static_cast<class_kind>(reader.ReadChoice("kind", {"request", "job"}));
    item.urgency_level = static_cast<urgency>(
        reader.ReadChoice("urgency", {"urgent", "normal", "batch"}));
    item.is_idempotent = reader.ReadBool("idempotent", true);
    if (item.kind == class_kind::kRequest) {
      ReadRequestClass(reader, item);
    } else {
      ReadGangClass(reader, item);
    }
    Insert(reader, "classes", objects_.classes, std::move(item));
  }

  static void ReadRequestClass(yaml_reader& reader, job_class& item) {
    item.target = target_id{reader.ReadName("target")};
    item.timeout = reader.ReadDuration("timeout", milliseconds(1), hours(24));
    item.floor_percent = ReadInt(reader, "floor_percent", 0, 100, 0);
    item.queue_limit =
        ReadInt(reader, "queue_limit", 1, kMaxCount, kDefaultQueueLimit);
  }

  static void ReadGangClass(yaml_reader& reader, job_class& item) {
    item.can_checkpoint = reader.ReadBool("checkpoint", false);
    item.checkpoint_grace = reader.ReadDuration("checkpoint_grace", duration(0),
                                                seconds(60), duration(0));
    item.max_restarts = ReadInt(reader, "max_restarts", 0, kMaxRestarts, 0);
    item.on_loss = static_cast<member_loss_policy>(
        reader.ReadChoice("on_loss", {"requeue", "end"}, 0));
  }

  static void ReadMinion(yaml_reader& reader, target& owner) {
    minion item;
    item.id.value = reader.ReadName("name");
    item.address = ReadAddress(reader);
    item.place.value = reader.ReadName("place");
    item.slots = ReadInt(reader, "slots", 1, kMaxConnections);
    item.connections = ReadInt(reader, "connections", 1, kMaxConnections);
    item.is_leaving = reader.ReadBool("leaving", false);
    for (const minion& other : owner.minions) {
      if (other.id == item.id) {
        reader.AddFault("name",
                        "'" + item.id.value + "' is defined more than once",
                        "a name that is used once");
      }
    }
    owner.minions.push_back(std::move(item));
  }

  void ReadTarget(yaml_reader& reader) {
    target item;
    item.id.value = reader.ReadName("name");
    item.is_leaving = reader.ReadBool("leaving", false);
    reader.ReadList(
        "minions", [&](yaml_reader& entry) { ReadMinion(entry, item); }, rule_);
    Insert(reader, "targets", objects_.targets, std::move(item));
  }

  parsed_config& parsed_;
  config_set& objects_;
  unknown_keys rule_;
  std::string file_;
  origin_table origins_;
};

}  // namespace

parsed_config ParseConfigSet(const std::vector<source_file>& files,
                             unknown_keys rule) {
  parsed_config parsed;
  set_parser parser(parsed, rule);
  for (const source_file& file : files) {
    parser.ReadFile(file);
  }
  CheckConfigSet(parsed.objects, parser.Origins(), parsed.faults);
  return parsed;
}

std::string EncodeSources(const std::vector<source_file>& files) {
  nlohmann::json list = nlohmann::json::array();
  for (const source_file& file : files) {
    list.push_back({{"name", file.name}, {"text", file.text}});
  }
  return nlohmann::json{{"format", 1}, {"files", list}}.dump();
}

result<std::vector<source_file>> DecodeSources(std::string_view content) {
  const auto document = nlohmann::json::parse(content, nullptr, false);
  if (!document.is_object() || !document.contains("files") ||
      !document["files"].is_array()) {
    return Fail(error_kind::kMalformed, "publication has no list of files");
  }
  std::vector<source_file> files;
  for (const auto& item : document["files"]) {
    if (!item.is_object() || !item.contains("name") || !item.contains("text") ||
        !item["name"].is_string() || !item["text"].is_string()) {
      return Fail(error_kind::kMalformed,
                  "publication has a file without a name or text");
    }
    files.push_back({item["name"], item["text"]});
  }
  return files;
}

result<config_ptr> LoadPublishedConfig(std::uint64_t version,
                                       const std::string& content) {
  auto files = DecodeSources(content);
  if (!files) {
    return files.error();
  }
  parsed_config parsed = ParseConfigSet(files.value(), unknown_keys::kIgnore);
  if (!parsed.faults.empty()) {
    return Fail(error_kind::kInvalidConfig, ToString(parsed.faults.front()));
  }
  return config_ptr(std::make_shared<const published_config>(
      published_config{version, std::move(parsed.objects), content}));
}

}  // namespace sassafras
