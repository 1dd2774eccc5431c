#include "bamboochute/bamboochute.hpp"

#include <iostream>

int main()
{
    std::cout << "bamboochuted " << bamboochute::version() << '\n';
    return 0;
}
