#include "storage/posix_disk.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace teasel {

namespace {

    constexpr std::string_view lockFileName = "lock";
    constexpr std::string_view temporarySuffix = ".new";
    constexpr mode_t fileMode = 0640;
    constexpr mode_t folderMode = 0750;

    boost::leaf::error_id failWithErrno(std::string_view operation, std::string_view path, int errorNumber)
    {
        const bool isFull = errorNumber == ENOSPC || errorNumber == EDQUOT;
        return fail(isFull ? ErrorKind::StateFull : ErrorKind::StateUnavailable,
            fmt::format(
                "can't {} {}: {}", operation, path, std::strerror(errorNumber))); // NOLINT(concurrency-mt-unsafe)
    }

    // A file descriptor that is closed at the end of its scope.
    class ScopedDescriptor {
    public:
        explicit ScopedDescriptor(int descriptor)
            : m_descriptor(descriptor)
        {
        }
        ~ScopedDescriptor()
        {
            if (m_descriptor >= 0)
                ::close(m_descriptor);
        }
        ScopedDescriptor(const ScopedDescriptor&) = delete;
        ScopedDescriptor& operator=(const ScopedDescriptor&) = delete;
        int get() const { return m_descriptor; }

    private:
        int m_descriptor;
    };

} // namespace

PosixDisk::PosixDisk(std::string folder)
    : m_path(std::move(folder))
{
}

PosixDisk::~PosixDisk()
{
    for (const auto& [name, file] : m_openFiles)
        ::close(file.descriptor);
    if (m_lockDescriptor >= 0)
        ::close(m_lockDescriptor);
    if (m_folderDescriptor >= 0)
        ::close(m_folderDescriptor);
}

Result<void> PosixDisk::open()
{
    if (::mkdir(m_path.c_str(), folderMode) != 0 && errno != EEXIST)
        return failWithErrno("create the data folder", m_path, errno);
    m_folderDescriptor = ::open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (m_folderDescriptor < 0)
        return failWithErrno("open the data folder", m_path, errno);
    m_lockDescriptor
        = ::openat(m_folderDescriptor, std::string(lockFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (m_lockDescriptor < 0)
        return failWithErrno("open the lock file in", m_path, errno);
    if (::flock(m_lockDescriptor, LOCK_EX | LOCK_NB) != 0)
        return fail(ErrorKind::StateUnavailable,
            fmt::format("the data folder {} is in use by another process; stop that process first", m_path));
    return removeTemporaryFiles();
}

Result<void> PosixDisk::removeTemporaryFiles()
{
    BOOST_LEAF_AUTO(names, listAll());
    for (const auto& name : names)
        if (name.ends_with(temporarySuffix))
            BOOST_LEAF_CHECK(remove(name));
    return {};
}

Result<std::vector<std::string>> PosixDisk::listAll()
{
    const int listDescriptor = ::openat(m_folderDescriptor, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR* entries = listDescriptor < 0 ? nullptr : ::fdopendir(listDescriptor);
    if (!entries)
        return failWithErrno("list", m_path, errno);
    std::vector<std::string> names;
    while (const auto* it = ::readdir(entries)) { // NOLINT(concurrency-mt-unsafe)
        const std::string_view name = it->d_name;
        if (name != "." && name != ".." && name != lockFileName)
            names.emplace_back(name);
    }
    ::closedir(entries);
    std::sort(names.begin(), names.end());
    return names;
}

Result<std::vector<std::string>> PosixDisk::list()
{
    BOOST_LEAF_AUTO(names, listAll());
    std::erase_if(names, [](const auto& it) { return it.ends_with(temporarySuffix); });
    return names;
}

Result<std::string> PosixDisk::read(std::string_view name)
{
    const std::string path(name);
    const ScopedDescriptor file(::openat(m_folderDescriptor, path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.get() < 0 && errno == ENOENT)
        return fail(ErrorKind::NotFound, fmt::format("file {} does not exist", name));
    struct stat info { };
    if (file.get() < 0 || ::fstat(file.get(), &info) != 0)
        return failWithErrno("open", path, errno);
    std::string bytes(static_cast<size_t>(info.st_size), '\0');
    size_t bytesRead = 0;
    while (bytesRead < bytes.size()) {
        const auto count = ::read(file.get(), bytes.data() + bytesRead, bytes.size() - bytesRead);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return failWithErrno("read", path, errno);
        if (count == 0)
            break;
        bytesRead += static_cast<size_t>(count);
    }
    bytes.resize(bytesRead);
    return bytes;
}

Result<PosixDisk::OpenFile*> PosixDisk::openForAppend(std::string_view name)
{
    const std::string path(name);
    if (const auto it = m_openFiles.find(path); it != m_openFiles.end())
        return &it->second;
    const int descriptor
        = ::openat(m_folderDescriptor, path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return failWithErrno("open", path, errno);
    return &m_openFiles.emplace(path, OpenFile { descriptor, false }).first->second;
}

Result<void> PosixDisk::writeAll(int descriptor, std::string_view name, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::write(descriptor, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return failWithErrno("write", name, errno);
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return {};
}

Result<void> PosixDisk::append(std::string_view name, std::string_view bytes)
{
    BOOST_LEAF_AUTO(file, openForAppend(name));
    return writeAll(file->descriptor, name, bytes);
}

Result<void> PosixDisk::syncFolder()
{
    if (::fsync(m_folderDescriptor) != 0)
        return failWithErrno("sync the folder", m_path, errno);
    return {};
}

Result<void> PosixDisk::sync(std::string_view name)
{
    BOOST_LEAF_AUTO(file, openForAppend(name));
    if (::fdatasync(file->descriptor) != 0)
        return failWithErrno("sync", name, errno);
    if (!file->isEntrySynced)
        BOOST_LEAF_CHECK(syncFolder());
    file->isEntrySynced = true;
    return {};
}

Result<void> PosixDisk::replace(std::string_view name, std::string_view bytes)
{
    close(name);
    const std::string path(name);
    const std::string temporary = path + std::string(temporarySuffix);
    {
        const ScopedDescriptor file(
            ::openat(m_folderDescriptor, temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode));
        if (file.get() < 0)
            return failWithErrno("open", temporary, errno);
        BOOST_LEAF_CHECK(writeAll(file.get(), temporary, bytes));
        if (::fsync(file.get()) != 0)
            return failWithErrno("sync", temporary, errno);
    }
    if (::renameat(m_folderDescriptor, temporary.c_str(), m_folderDescriptor, path.c_str()) != 0)
        return failWithErrno("rename", temporary, errno);
    return syncFolder();
}

Result<void> PosixDisk::truncate(std::string_view name, uint64_t size)
{
    BOOST_LEAF_AUTO(file, openForAppend(name));
    if (::ftruncate(file->descriptor, static_cast<off_t>(size)) != 0 || ::fsync(file->descriptor) != 0)
        return failWithErrno("truncate", name, errno);
    return {};
}

Result<void> PosixDisk::remove(std::string_view name)
{
    close(name);
    if (::unlinkat(m_folderDescriptor, std::string(name).c_str(), 0) != 0 && errno != ENOENT)
        return failWithErrno("remove", name, errno);
    return syncFolder();
}

void PosixDisk::close(std::string_view name)
{
    const auto it = m_openFiles.find(std::string(name));
    if (it == m_openFiles.end())
        return;
    ::close(it->second.descriptor);
    m_openFiles.erase(it);
}

} // namespace teasel
