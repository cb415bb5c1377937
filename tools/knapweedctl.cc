#include "knapweed/ctl/ctl.h"

int main(int argc, char** argv) {
  return knapweed::CtlMain(argc, const_cast<const char**>(argv));
}
