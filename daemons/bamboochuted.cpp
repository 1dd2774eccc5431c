#include "bamboochute/bamboochute.hpp"

int main(int argumentCount, char **arguments)
{
    return bamboochute::runInstance({arguments + 1, arguments + argumentCount});
}
