# Lists the packages that the build and the tests need, and installs those that are missing.
# The other scripts in this folder source this file.
PACKAGES="g++ cmake ninja-build pkg-config git ccache clang-format clang-tidy \
libtbb-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libboost1.81-dev \
libcpp-httplib-dev libbrotli-dev zlib1g-dev libeasyloggingpp-dev librapidcheck-dev \
libsimpleini-dev nlohmann-json3-dev libxxhash-dev libssl-dev libgtest-dev libgmock-dev \
curl python3"

install_packages() {
    missing=""
    for package in $PACKAGES; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
            missing="$missing $package"
    done
    [ -z "$missing" ] && return 0
    apt-get update -q
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing
}
