#pragma once

#include "pomeloport/protocol/jsonfields.h"
