// The one translation unit that holds doctest's implementation and main(); every test program links it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
