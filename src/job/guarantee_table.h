#ifndef SASSAFRAS_JOB_GUARANTEE_TABLE_H_
#define SASSAFRAS_JOB_GUARANTEE_TABLE_H_

#include <optional>
#include <vector>

#include "src/job/group_search.h"
#include "src/job/inventory.h"

namespace sassafras {

/// One promised instance of a shape, bound to workers on which it can be given
/// at once by evicting borrowed work only. All bound cells together are the
/// proof that every guarantee can be honoured at the same time.
struct guarantee_cell {
  int team = 0;
  shape promised;
  std::vector<int> workers;  ///< Empty while it cannot be bound.
  std::vector<resources>
      free_resources;  ///< Unused part, by index of `workers`.
  int jobs = 0;        ///< Jobs inside. A used cell does not move.

  bool IsBound() const { return !workers.empty(); }
  bool IsUsed() const { return jobs > 0; }
};

/// The cells of all guarantees. Keeps worker_state::promised up to date.
class guarantee_table {
 public:
  explicit guarantee_table(inventory& workers) : workers_(workers) {}

  /// Replaces all cells by one unbound cell per promised instance, in the
  /// order of the team table, largest first; by none if not `enforced`.
  void Load(const config_set& objects, bool enforced);

  guarantee_cell& operator[](int cell) {
    return cells_[static_cast<std::size_t>(cell)];
  }
  const guarantee_cell& operator[](int cell) const {
    return cells_[static_cast<std::size_t>(cell)];
  }

  int size() const { return static_cast<int>(cells_.size()); }

  /// Cells of one team, as indices.
  const std::vector<int>& OfTeam(int team) const {
    return by_team_[static_cast<std::size_t>(team)];
  }

  void Bind(int cell, const std::vector<int>& workers);
  void Unbind(int cell);

  /// Gives the place of the unused cell `cell` to an unused cell of `team` of
  /// the same shape, and the other way round. Returns that cell.
  int Exchange(int cell, int team);

  /// Takes `need` on each of `workers` from the room of a bound cell.
  void Enter(int cell, const std::vector<int>& workers, const resources& need);
  void Leave(int cell, const std::vector<int>& workers, const resources& need);

  /// Unbinds the unused cells that rest on unusable workers, then binds all
  /// unbound cells where they fit; if that is not enough, binds all unused
  /// cells anew. Returns the number of cells that stay unbound.
  int Repair();

  /// Takes `need` on each of `workers` for firm work, moving unused cells out
  /// of the way. Returns false, with nothing changed, if they cannot move.
  bool Displace(const std::vector<int>& workers, const resources& need);

  /// Unbinds unused cells on `workers` until each has `need` unpromised.
  /// Returns false, with those cells unbound, if firm work is in the way.
  bool UnbindUnusedCells(const std::vector<int>& workers,
                         const resources& need);

  /// Number of cells that are not bound.
  int Unbound() const { return unbound_; }

 private:
  bool BindAnywhere(int cell);
  int BindAll();
  std::vector<int> UnusedCellsOn(const std::vector<int>& workers) const;

  inventory& workers_;
  std::vector<guarantee_cell> cells_;
  std::vector<std::vector<int>> by_team_;
  int unbound_ = 0;
};

/// Whether two shapes differ in nothing but their names.
bool IsSameShape(const shape& a, const shape& b);

/// Whether a job of shape `wanted` may run inside a cell of shape `promised`:
/// no more workers, each with no more of anything, and at least as adjacent.
bool CanHold(const shape& promised, const shape& wanted);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_GUARANTEE_TABLE_H_
