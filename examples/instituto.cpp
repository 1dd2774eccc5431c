#include "example.hpp"

int main(int argumentCount, char **arguments)
{
    using namespace bamboochute::examples;
    return printExample(argumentCount, arguments, makeInstitutoConfiguration);
}
