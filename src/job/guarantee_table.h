#ifndef SASSAFRAS_JOB_GUARANTEE_TABLE_H_
#define SASSAFRAS_JOB_GUARANTEE_TABLE_H_

#include <optional>
#include <vector>

#include "src/job/group_search.h"
#include "src/job/inventory.h"

namespace sassafras {

/// One promised instance of a shape, bound to workers on which it can be
/// provided by evicting borrowed jobs only. If all cells are bound, every
/// guarantee can be honoured at the same time.
struct guarantee_cell {
  int team = 0;
  shape promised;
  std::vector<int> workers;  ///< Empty while it cannot be bound.
  /// Resources not used by the jobs in the cell, by index of `workers`.
  std::vector<resources> free_resources;
  int jobs = 0;  ///< Jobs placed in the cell. A used cell does not move.

  bool IsBound() const { return !workers.empty(); }
  bool IsUsed() const { return jobs > 0; }
};

/// The cells of all guarantees. Keeps worker_state::promised up to date.
class guarantee_table {
 public:
  explicit guarantee_table(inventory& workers) : workers_(workers) {}

  /// Replaces all cells by one unbound cell per promised instance, largest
  /// first and then in the order of the team table. Leaves the table empty
  /// if not `enforced`.
  void Load(const config_set& objects, bool enforced);

  guarantee_cell& operator[](int cell) {
    return cells_[static_cast<std::size_t>(cell)];
  }
  const guarantee_cell& operator[](int cell) const {
    return cells_[static_cast<std::size_t>(cell)];
  }

  int size() const { return static_cast<int>(cells_.size()); }

  /// Returns the indices of the cells of one team.
  const std::vector<int>& OfTeam(int team) const {
    return by_team_[static_cast<std::size_t>(team)];
  }

  /// Binds an unbound cell to `workers`, as many as its shape has, or unbinds
  /// an unused one.
  void Bind(int cell, const std::vector<int>& workers);
  void Unbind(int cell);

  /// Swaps the workers of the unused cell `cell` with those of an unused cell
  /// of `team` with the same shape. Returns the cell of `team`.
  int Exchange(int cell, int team);

  /// Adds a job to a bound cell, with `need` on each of `workers`, or removes
  /// it.
  void Enter(int cell, const std::vector<int>& workers, const resources& need);
  void Leave(int cell, const std::vector<int>& workers, const resources& need);

  /// Unbinds the unused cells on unusable workers, then binds all unbound cells
  /// where they fit. If some do not fit, rebinds all unused cells. Returns the
  /// number of cells that stay unbound.
  int Repair();

  /// Promises `need` on each of `workers` to a firm job and rebinds the unused
  /// cells there elsewhere. Returns false, with nothing changed, if they do not
  /// fit.
  bool Displace(const std::vector<int>& workers, const resources& need);

  /// Unbinds the unused cells on `workers` unless each has `need` unpromised
  /// already. Returns false, with those cells unbound, if it still does not fit
  /// because of firm jobs or used cells.
  bool UnbindUnusedCells(const std::vector<int>& workers,
                         const resources& need);

  /// Returns the number of cells that are not bound.
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

/// Whether two shapes are equal apart from their names.
bool IsSameShape(const shape& a, const shape& b);

/// Whether a job of shape `wanted` fits in a cell of shape `promised`: it needs
/// no more workers and no more resources on each, and the cell's group level is
/// at least as narrow (any level for a single worker).
bool CanHold(const shape& promised, const shape& wanted);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_GUARANTEE_TABLE_H_
