#pragma once

#include "internal.h"

/// Acceptance of cells that other entries offer.

namespace currantpost::scheduler {

/// Handles the offer of a cell by its owner, and the read of the cell's progress that follows.
/// @{
void ApplyTransferOffer(State& state, Effects& effects, const CellId& cell, const StoreItem& item);
void HandleOfferedProgressListed(State& state, Effects& effects,
                                 const OfferedProgressListed& listed, const StoreReply& reply);
/// @}

}  // namespace currantpost::scheduler
