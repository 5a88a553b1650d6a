// Loopback ports that no other test uses.
//
// Index: port_block
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_PORT_BLOCK_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_PORT_BLOCK_HPP

namespace marigoldcrank::tests
{

/// 200 loopback ports below the range of outgoing connections. The first one stays bound
/// while the object lives, so that tests that run in parallel never share a block.
class port_block
{
public:
    port_block();
    ~port_block();
    port_block(port_block const&) = delete;
    port_block& operator=(port_block const&) = delete;

    int next();

private:
    int socket_ = -1;
    int base_ = 0;
    int used_ = 0;
};

} // namespace marigoldcrank::tests

#endif
